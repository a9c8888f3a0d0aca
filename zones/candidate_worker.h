#pragma once

#include "core/names.h"
#include "machines/resources.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** What placement sees of one worker. */
class CandidateWorker
{
public:
  const WorkerName& Name() const { return this->name; }
  const RackName& Rack() const { return this->rack; }
  /** Room that no task takes and no waiting unit has reserved. */
  const Resources& Free() const { return this->free; }
  /** Room of the empty worker. */
  const Resources& Total() const { return this->whole; }
  /** Most tasks of the step in question that may be added. */
  std::int32_t MaxTasks() const { return this->maxTasks; }
  /** Higher for workers whose latest runs went badly; they are used last. */
  std::int32_t Penalty() const { return this->penalty; }

  auto operator<=>(const CandidateWorker&) const = default;

private:
  friend class CandidateWorkerBuilder;

  WorkerName name;
  RackName rack;
  Resources free;
  Resources whole;
  std::int32_t maxTasks = 0;
  std::int32_t penalty = 0;
};

}
