#pragma once

#include "contracts/admitted_job.h"
#include "core/instant.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

/** A job of a generated stream, with the properties that are hidden from the
 * scheduler. */
struct ModelJob
{
  AdmittedJob job;
  /** Index into ModelSettings::kinds. */
  std::size_t kind = 0;
  /** Time since the start of the traffic. */
  Milliseconds arrival{ 0 };
  /** Run time of each task of each step on a worker with a run-time
   * factor of 1. */
  std::vector<std::vector<Milliseconds>> runTimes;
  /** Every run of the job fails. */
  bool alwaysFails = false;
  /** When its caller cancels it, as time since the start of the traffic. */
  std::optional<Milliseconds> cancelAt;
  /** The job is in time if it is final within this time of its arrival. */
  Milliseconds objective{ 0 };
  /** Multiplies the credit of the kind; grows with the job's size. */
  double creditFactor = 1.0;

  bool operator==(const ModelJob&) const = default;
};

}
