#pragma once

#include "core/instant.h"
#include "machines/resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** One kind of job in a modelled stream. Shares are between 0 and 1. */
struct ModelKind
{
  std::string name;
  std::int32_t priority = 0;
  /** Jobs a second, in the mean. */
  double perSecond = 0.0;
  /** Tasks of a step: the mean, the standard deviation of its logarithm, and
   * the most. */
  double width = 1.0;
  double widthSpread = 0.0;
  double maxWidth = 1.0;
  /** Most accelerators of a step, where that bounds its width. */
  double maxAccelerators = 1e9;
  /** Steps, one after the other, in the mean and at most. */
  double steps = 1.0;
  double maxSteps = 1.0;
  /** What a task takes beside its accelerators. */
  Resources need;
  /** A job's tasks take one of these numbers of accelerators. */
  std::vector<std::int64_t> accelerators{ 1 };
  /** Run time of a task, as for the width. */
  Milliseconds work{ 1000 };
  double workSpread = 0.0;
  Milliseconds maxWork{ 1000 };
  /** Tasks of a step that is no gang differ by up to this share. */
  double uneven = 0.0;
  /** Estimates differ from the run time by up to this share. */
  double estimateError = 0.0;
  double gangShare = 0.0;
  double oneRackShare = 0.0;
  double checkpointShare = 0.0;
  double dataRackShare = 0.0;
  double apartShare = 0.0;
  /** Jobs that fail in each of their runs. */
  double poisonShare = 0.0;
  /** Runs that fail by chance. */
  double failureShare = 0.0;
  double cancelShare = 0.0;
  std::int32_t maxAttempts = 3;
  /** The objective is the run time times the stretch, and the allowance. */
  double stretch = 1.0;
  Milliseconds allowance{ 0 };
  /** Credit of a job in time, and of a late one. */
  double worth = 1.0;
  double lateWorth = 0.0;

  bool operator==(const ModelKind&) const = default;
};

}
