#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** Where callers submit jobs, and the policy that holds for these. */
class JobQueue
{
public:
  const QueueName& Name() const { return this->name; }
  /** Host field of the calls that reach it. */
  const std::string& Authority() const { return this->authority; }
  /** Path that these calls begin with. */
  const std::string& PathPrefix() const { return this->pathPrefix; }
  /** Service whose workers run the tasks. */
  const ServiceName& Service() const { return this->service; }
  /** 0 comes first and may preempt the others. */
  std::int32_t Priority() const { return this->priority; }
  /** Failed runs of a task after which the job has failed. */
  std::int32_t MaxAttempts() const { return this->maxAttempts; }
  /** Whether calls need no key. */
  bool IsPublic() const { return this->isPublic; }
  /** Factor of the shortest run time in the completion objective. */
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
