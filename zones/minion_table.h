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
  using Slots = ServicePool::Slots;

  MinionTable() = default;
  explicit MinionTable(const Slots& aLocal, const Slots& aRemote = {});

  /** Minions that serve aService; null if there are none. */
  const ServicePool* Find(const ServiceName& aService) const;
  const Slots& All() const { return this->all; }

private:
  std::unordered_map<ServiceName, ServicePool> services;
  Slots all;
};

}
