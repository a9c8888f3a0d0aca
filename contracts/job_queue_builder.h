#pragma once

#include "contracts/job_queue.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a JobQueue. Build() returns nullopt and sets aReason if the name,
 * service or path prefix is missing, or max attempts is below 1. */
class JobQueueBuilder
{
public:
  JobQueueBuilder& Name(QueueName aName);
  JobQueueBuilder& Authority(std::string aAuthority);
  JobQueueBuilder& PathPrefix(std::string aPathPrefix);
  JobQueueBuilder& Service(ServiceName aService);
  JobQueueBuilder& Priority(std::int32_t aPriority);
  JobQueueBuilder& MaxAttempts(std::int32_t aMaxAttempts);
  JobQueueBuilder& IsPublic(bool aIsPublic);
  JobQueueBuilder& Stretch(double aStretch);
  JobQueueBuilder& Allowance(Milliseconds aAllowance);
  std::optional<JobQueue> Build(Reason& aReason) const;

private:
  JobQueue value;
};

}
