#pragma once

#include "contracts/failed_run.h"
#include "contracts/job_state.h"
#include "contracts/unit_placement.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** Stored progress of a job. */
class JobProgress
{
public:
  const QueueName& Queue() const { return this->queue; }
  /** Address of the queue when the job was accepted; empty for a job that an
   * earlier version accepted. */
  const QueueAddress& Address() const { return this->address; }
  const JobState& State() const { return this->state; }
  /** One character per unit: kNeverStarted, kStarted or kDone. A unit counts as
   * started once a worker has confirmed a run. Empty until then. */
  const std::string& Marks() const { return this->marks; }
  /** Failed runs by run number. A worker may report the same end again to the
   * next holder, which must not count it twice. */
  const std::vector<FailedRun>& FailedRuns() const { return this->failedRuns; }
  /** Latest run of each unit that was placed and is not done. */
  const std::vector<UnitPlacement>& Placements() const
  {
    return this->placements;
  }

  /** Number of rows in which the progress is stored. Only the first row has
   * this number, the state and the marks; each row has a share of the lists. */
  std::int32_t Rows() const { return this->rows; }

  static constexpr char kNeverStarted = '.';
  static constexpr char kStarted = 's';
  static constexpr char kDone = 'D';

  auto operator<=>(const JobProgress&) const = default;

private:
  friend class JobProgressBuilder;

  QueueName queue;
  QueueAddress address;
  JobState state = JobState::kAdmitted;
  std::string marks;
  std::vector<FailedRun> failedRuns;
  std::vector<UnitPlacement> placements;
  std::int32_t rows = 1;
};

}
