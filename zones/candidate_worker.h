#pragma once

#include "core/names.h"
#include "machines/resources.h"
#include "zones/worker_outlook.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A worker as placement considers it: its free and total resources. */
class CandidateWorker
{
public:
  const WorkerName& Name() const { return this->name; }
  const RackName& Rack() const { return this->rack; }
  /** Resources that no task uses and no other unit has reserved. */
  const Resources& Free() const { return this->free; }
  /** Resources of the worker when nothing runs on it. */
  const Resources& Total() const { return this->total; }
  /** Maximum number of further tasks of the step to be placed. */
  std::int32_t MaxTasks() const { return this->maxTasks; }
  /** Higher for workers whose recent runs failed or were slow; 0 for none.
   * Workers with a higher penalty are used last. */
  std::int32_t Penalty() const { return this->penalty; }
  const WorkerOutlook& Outlook() const { return this->outlook; }

  auto operator<=>(const CandidateWorker&) const = default;

private:
  friend class CandidateWorkerBuilder;

  WorkerName name;
  RackName rack;
  Resources free;
  Resources total;
  std::int32_t maxTasks = 0;
  std::int32_t penalty = 0;
  WorkerOutlook outlook;
};

}
