#pragma once

#include "contracts/job_plan.h"
#include "core/instant.h"
#include "core/names.h"
#include "core/wall_time.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A job that was accepted and stored, with the policy it was accepted under.
 */
class AdmittedJob
{
public:
  const JobKey& Key() const { return this->key; }
  const QueueName& Queue() const { return this->queue; }
  const ServiceName& Service() const { return this->service; }
  /** Empty when it came through a public queue. */
  const TeamName& Team() const { return this->team; }
  /** 0 comes first. */
  std::int32_t Priority() const { return this->priority; }
  /** Failed runs of a task after which the job has failed. */
  std::int32_t MaxAttempts() const { return this->maxAttempts; }
  /** Factor of the shortest run time in the completion objective. */
  double Stretch() const { return this->stretch; }
  /** Time that the objective adds to the stretched run time. */
  Milliseconds Allowance() const { return this->allowance; }
  /** When it was accepted, on the accepting host's calendar. */
  WallTime Admitted() const { return this->admitted; }
  const JobPlan& Plan() const { return this->plan; }

  auto operator<=>(const AdmittedJob&) const = default;

private:
  friend class AdmittedJobBuilder;

  JobKey key;
  QueueName queue;
  ServiceName service;
  TeamName team;
  std::int32_t priority = 0;
  std::int32_t maxAttempts = 1;
  double stretch = 1.0;
  Milliseconds allowance = {};
  WallTime admitted = {};
  JobPlan plan;
};

}
