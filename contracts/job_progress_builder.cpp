#include "contracts/job_progress_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

JobProgressBuilder&
JobProgressBuilder::Queue(QueueName aQueue)
{
  this->value.queue = std::move(aQueue);
  return *this;
}

JobProgressBuilder&
JobProgressBuilder::Address(QueueAddress aAddress)
{
  this->value.address = std::move(aAddress);
  return *this;
}

JobProgressBuilder&
JobProgressBuilder::State(JobState aState)
{
  this->value.state = aState;
  return *this;
}

JobProgressBuilder&
JobProgressBuilder::Marks(std::string aMarks)
{
  this->value.marks = std::move(aMarks);
  return *this;
}

JobProgressBuilder&
JobProgressBuilder::FailedRuns(std::vector<FailedRun> aFailedRuns)
{
  this->value.failedRuns = std::move(aFailedRuns);
  return *this;
}

JobProgressBuilder&
JobProgressBuilder::Placements(std::vector<UnitPlacement> aPlacements)
{
  this->value.placements = std::move(aPlacements);
  return *this;
}

JobProgressBuilder&
JobProgressBuilder::Rows(std::int32_t aRows)
{
  this->value.rows = aRows;
  return *this;
}

std::optional<JobProgress>
JobProgressBuilder::Build(Reason& aReason) const
{
  if (this->value.rows < 1) {
    aReason = Reason(Step::kDecode, "", "job progress needs at least one row");
    return std::nullopt;
  }
  if (this->value.queue.Empty()) {
    aReason = Reason(Step::kDecode, "", "job progress needs a queue");
    return std::nullopt;
  }
  return this->value;
}

}
