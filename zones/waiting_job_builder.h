#pragma once

#include "zones/waiting_job.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a WaitingJob; Build() returns empty and sets aReason when the job has
 * no key. */
class WaitingJobBuilder
{
public:
  WaitingJobBuilder& Request(Job aRequest);
  WaitingJobBuilder& Submitted(Instant aSubmitted);
  WaitingJobBuilder& ExpectedRunTime(Milliseconds aExpectedRunTime);
  std::optional<WaitingJob> Build(Reason& aReason) const;

private:
  WaitingJob value;
};

}
