#pragma once

#include "core/endpoint.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** An upstream that serves short requests of one service. */
class Minion
{
public:
  const MinionName& Name() const { return this->name; }
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** The service whose requests it serves. */
  const ServiceName& Service() const { return this->service; }
  const Endpoint& Address() const { return this->address; }
  /** Max requests in flight, from all entry hosts together. */
  std::int32_t Slots() const { return this->slots; }
  /** Max open connections, from all entry hosts together. */
  std::int32_t Connections() const { return this->connections; }

  auto operator<=>(const Minion&) const = default;

private:
  friend class MinionBuilder;

  MinionName name;
  DataCentreName dataCentre;
  ServiceName service;
  Endpoint address;
  std::int32_t slots = 8;
  std::int32_t connections = 64;
};

}
