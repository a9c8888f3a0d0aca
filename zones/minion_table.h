#pragma once

#include "core/names.h"
#include "zones/service_pool.h"

#include <unordered_map>

namespace sardinecourse {

/** Immutable index of the minions by service, read by the request path as a
 * snapshot. */
class MinionTable
{
public:
  using MinionStates = ServicePool::MinionStates;

  MinionTable() = default;
  explicit MinionTable(const MinionStates& aLocal,
                       const MinionStates& aRemote = {});

  /** Minions that serve aService; null if there are none. */
  const ServicePool* Find(const ServiceName& aService) const;
  const MinionStates& All() const { return this->all; }

private:
  std::unordered_map<ServiceName, ServicePool> services;
  MinionStates all;
};

}
