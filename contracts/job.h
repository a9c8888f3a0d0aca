#pragma once

#include "contracts/shape.h"
#include "core/names.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A gang job as its team submitted it. Sizes and run time are declared by the
 * caller and serve as hints. */
class Job
{
public:
  const TeamName& Team() const { return this->team; }
  /** Service for which the job runs. */
  const ServiceName& Service() const { return this->service; }
  /** Key chosen by the caller; together with the team it makes admission
   * idempotent. */
  const JobKey& Key() const { return this->key; }
  /** Accelerators that the gang needs. */
  const Shape& GangShape() const { return this->gangShape; }
  /** CPU cores per member. */
  std::int32_t CoresPerMember() const { return this->coresPerMember; }
  /** Memory per member, in MB. */
  std::int32_t MemoryPerMember() const { return this->memoryPerMember; }
  /** Run time declared by the caller; 0 if none was declared. */
  std::chrono::milliseconds DeclaredRunTime() const
  {
    return this->declaredRunTime;
  }
  /** True if the job runs before the team's other jobs. */
  bool Urgent() const { return this->urgent; }

  auto operator<=>(const Job&) const = default;

private:
  friend class JobBuilder;

  TeamName team;
  ServiceName service;
  JobKey key;
  Shape gangShape;
  std::int32_t coresPerMember = 1;
  std::int32_t memoryPerMember = 1024;
  std::chrono::milliseconds declaredRunTime{ 0 };
  bool urgent = false;
};

}
