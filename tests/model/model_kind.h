#pragma once

#include "core/instant.h"
#include "machines/resources.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** Parameters of one kind of job in a generated stream. Shares are between 0
 * and 1. */
struct ModelKind
{
  std::string name;
  std::int32_t priority = 0;
  /** Mean arrival rate in jobs per second. */
  double arrivalsPerSecond = 0.0;
  /** Number of tasks of a step, log-normal: the mean, the standard deviation of
   * the logarithm, and the maximum. */
  double width = 1.0;
  double widthSpread = 0.0;
  double maxWidth = 1.0;
  /** Maximum number of accelerators of a step over all tasks; limits the width.
   */
  double maxAccelerators = 1e9;
  /** Number of steps, which run one after the other: mean and maximum. */
  double steps = 1.0;
  double maxSteps = 1.0;
  /** Cores and memory of a task. */
  Resources need;
  /** Accelerators per task; each job draws one of these numbers. */
  std::vector<std::int64_t> accelerators{ 1 };
  /** Run time of a task, log-normal: the mean, the standard deviation of the
   * logarithm, and the maximum. */
  Milliseconds work{ 1000 };
  double workSpread = 0.0;
  Milliseconds maxWork{ 1000 };
  /** Run times of tasks outside gangs differ from the step's by up to this
   * share. */
  double unevenness = 0.0;
  /** Estimates differ from the step's run time by up to this share. */
  double estimateError = 0.0;
  double gangShare = 0.0;
  double oneRackShare = 0.0;
  double checkpointShare = 0.0;
  double dataRackShare = 0.0;
  /** Steps that allow one task per worker. */
  double oneTaskPerWorkerShare = 0.0;
  /** Jobs of which every run fails. */
  double poisonShare = 0.0;
  /** Runs of the other jobs that fail. */
  double failureShare = 0.0;
  double cancelShare = 0.0;
  std::int32_t maxAttempts = 3;
  /** The objective is the run time times the stretch, plus the allowance. */
  double stretch = 1.0;
  Milliseconds allowance{ 0 };
  /** Credit of a job that is in time, and of a late one. */
  double worth = 1.0;
  double lateWorth = 0.0;

  bool operator==(const ModelKind&) const = default;
};

}
