#pragma once

#include "contracts/job_progress.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a JobProgress. Build() returns nullopt and sets aReason if the queue
 * is missing or the number of rows is not positive. */
class JobProgressBuilder
{
public:
  JobProgressBuilder& Queue(QueueName aQueue);
  JobProgressBuilder& Address(QueueAddress aAddress);
  JobProgressBuilder& State(JobState aState);
  JobProgressBuilder& Marks(std::string aMarks);
  JobProgressBuilder& FailedRuns(std::vector<FailedRun> aFailedRuns);
  JobProgressBuilder& Placements(std::vector<UnitPlacement> aPlacements);
  JobProgressBuilder& Rows(std::int32_t aRows);
  std::optional<JobProgress> Build(Reason& aReason) const;

private:
  JobProgress value;
};

}
