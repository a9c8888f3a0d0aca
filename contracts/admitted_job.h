#pragma once

#include "contracts/job_plan.h"
#include "core/instant.h"
#include "core/names.h"
#include "core/wall_time.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A stored job with the queue policy under which it was accepted. */
class AdmittedJob
{
public:
  const JobKey& Key() const { return this->key; }
  const QueueName& Queue() const { return this->queue; }
  /** Address of the queue when the job was accepted; empty for a job that an
   * earlier version accepted. */
  const QueueAddress& Address() const { return this->address; }
  const ServiceName& Service() const { return this->service; }
  /** Empty for a job submitted through a public queue. */
  const TeamName& Team() const { return this->team; }
  /** Data centre of the host that accepted the job; empty for a job that an
   * earlier version accepted. */
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** Lower values run first; 0 is the most urgent. */
  std::int32_t Priority() const { return this->priority; }
  /** Number of failed runs of one task after which the job fails. */
  std::int32_t MaxAttempts() const { return this->maxAttempts; }
  /** Factor applied to the shortest possible run time in the completion
   * objective. */
  double Stretch() const { return this->stretch; }
  /** Time that the completion objective adds to the stretched run time. */
  Milliseconds Allowance() const { return this->allowance; }
  /** When the job was accepted, by the accepting host's wall clock. */
  WallTime Admitted() const { return this->admitted; }
  const JobPlan& Plan() const { return this->plan; }

  auto operator<=>(const AdmittedJob&) const = default;

private:
  friend class AdmittedJobBuilder;

  JobKey key;
  QueueName queue;
  QueueAddress address;
  ServiceName service;
  TeamName team;
  DataCentreName dataCentre;
  std::int32_t priority = 0;
  std::int32_t maxAttempts = 1;
  double stretch = 1.0;
  Milliseconds allowance = {};
  WallTime admitted = {};
  JobPlan plan;
};

}
