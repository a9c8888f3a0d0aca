#pragma once

#include "contracts/shape.h"
#include "core/instant.h"
#include "core/names.h"
#include "zones/gang_placement.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A running gang as its workers report it. */
class RunningGang
{
public:
  const TeamName& Team() const { return this->team; }
  const JobKey& Key() const { return this->key; }
  /** Where its members run. */
  const GangPlacement& Placement() const { return this->placement; }
  /** The shape that the gang was started with. */
  Shape GangShape() const { return this->gangShape; }
  std::int32_t CoresPerMember() const { return this->coresPerMember; }
  /** In MB. */
  std::int32_t MemoryPerMember() const { return this->memoryPerMember; }
  bool Urgent() const { return this->urgent; }
  /** When all members were released. */
  Instant Started() const { return this->started; }
  /** Run time learned from similar jobs; zero when there are none. */
  Milliseconds ExpectedRunTime() const { return this->expectedRunTime; }
  /** Work done after this time is lost when the gang is stopped. */
  Instant LastCheckpoint() const { return this->lastCheckpoint; }
  /** True when the gang was ordered to stop and has not stopped yet. */
  bool Stopping() const { return this->stopping; }

  auto operator<=>(const RunningGang&) const = default;

private:
  friend class RunningGangBuilder;

  TeamName team;
  JobKey key;
  GangPlacement placement;
  Shape gangShape;
  std::int32_t coresPerMember = 1;
  std::int32_t memoryPerMember = 1024;
  bool urgent = false;
  Instant started;
  Milliseconds expectedRunTime{ 0 };
  Instant lastCheckpoint;
  bool stopping = false;
};

}
