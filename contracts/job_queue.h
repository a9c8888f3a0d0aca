#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** An address at which callers submit jobs, with the policy for these jobs. */
class JobQueue
{
public:
  const QueueName& Name() const { return this->name; }
  /** Value of the Host header in calls to this queue. */
  const std::string& Authority() const { return this->authority; }
  /** Prefix of the path in calls to this queue. */
  const std::string& PathPrefix() const { return this->pathPrefix; }
  /** The authority followed by the path prefix. */
  QueueAddress Address() const
  {
    return QueueAddress(this->authority + this->pathPrefix);
  }
  /** Whether a job belongs to this queue that was accepted by a queue with this
   * name and address; the address is empty if it is not known. Either may have
   * changed since, but not both. */
  bool Contains(const QueueName& aName, const QueueAddress& aAddress) const
  {
    return aName == this->name || aAddress == this->Address();
  }
  /** Service whose workers run the tasks. */
  const ServiceName& Service() const { return this->service; }
  /** Lower values run first; jobs of priority 0 may preempt others. */
  std::int32_t Priority() const { return this->priority; }
  /** Number of failed runs of one task after which the job fails. */
  std::int32_t MaxAttempts() const { return this->maxAttempts; }
  /** True if calls need no key. */
  bool IsPublic() const { return this->isPublic; }
  /** Factor applied to the shortest possible run time in the completion
   * objective. */
  double Stretch() const { return this->stretch; }
  /** Time that the completion objective adds to the stretched run time. */
  Milliseconds Allowance() const { return this->allowance; }

  auto operator<=>(const JobQueue&) const = default;

private:
  friend class JobQueueBuilder;

  QueueName name;
  std::string authority;
  std::string pathPrefix;
  ServiceName service;
  std::int32_t priority = 0;
  std::int32_t maxAttempts = 1;
  bool isPublic = false;
  double stretch = 1.0;
  Milliseconds allowance = {};
};

}
