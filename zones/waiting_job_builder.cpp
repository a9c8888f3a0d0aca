#include "zones/waiting_job_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

WaitingJobBuilder&
WaitingJobBuilder::Request(Job aRequest)
{
  this->value.request = std::move(aRequest);
  return *this;
}

WaitingJobBuilder&
WaitingJobBuilder::Submitted(Instant aSubmitted)
{
  this->value.submitted = aSubmitted;
  return *this;
}

WaitingJobBuilder&
WaitingJobBuilder::ExpectedRunTime(Milliseconds aExpectedRunTime)
{
  this->value.expectedRunTime = aExpectedRunTime;
  return *this;
}

std::optional<WaitingJob>
WaitingJobBuilder::Build(Reason& aReason) const
{
  if (this->value.request.Key().Empty()) {
    aReason = Reason(Step::kPlacement,
                     this->value.request.Key().Text(),
                     "a waiting job needs a key");
    return std::nullopt;
  }
  return this->value;
}

}
