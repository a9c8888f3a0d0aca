#pragma once

#include "contracts/shape.h"
#include "core/names.h"

#include <chrono>
#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A gang job as its team submitted it. Sizes and run time are what the caller
 * declared, and are hints. */
class Job
{
public:
  /** The team that submitted the job. */
  const TeamName& Team() const { return this->team; }
  /** The service on whose behalf it runs. */
  const ServiceName& Service() const { return this->service; }
  /** The caller's key; with the team it makes admission idempotent. */
  const JobKey& Key() const { return this->key; }
  /** The accelerators it needs. */
  const Shape& GangShape() const { return this->gangShape; }
  /** Processor cores of each member. */
  std::int32_t CoresPerMember() const { return this->coresPerMember; }
  /** Memory of each member, in MB. */
  std::int32_t MemoryPerMember() const { return this->memoryPerMember; }
  /** Run time that the caller declared; zero if none. */
  std::chrono::milliseconds DeclaredRunTime() const
  {
    return this->declaredRunTime;
  }
  /** True when it goes before other work of its team. */
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
