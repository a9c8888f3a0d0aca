#pragma once

#include "contracts/job_progress.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a JobProgress. Build() returns nullopt and sets aReason if the queue
 * is missing. */
class JobProgressBuilder
{
public:
  JobProgressBuilder& Queue(QueueName aQueue);
  JobProgressBuilder& State(JobState aState);
  JobProgressBuilder& Marks(std::string aMarks);
  JobProgressBuilder& FailedRuns(std::vector<FailedRun> aFailedRuns);
  JobProgressBuilder& Placements(std::vector<UnitPlacement> aPlacements);
  std::optional<JobProgress> Build(Reason& aReason) const;

private:
  JobProgress value;
};

}
