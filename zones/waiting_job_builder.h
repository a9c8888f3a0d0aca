#pragma once

#include "zones/waiting_job.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a WaitingJob; Build() is empty, with the reason, when a field is
 * missing or out of range. */
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
