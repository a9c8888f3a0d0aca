#pragma once

#include "core/endpoint.h"
#include "core/names.h"

#include <compare>

namespace sardinecourse {

/** A host that runs the daemon. All entry hosts are equal. */
class EntryHost
{
public:
  const HostName& Name() const { return this->name; }
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** HTTP endpoint for callers and operators. */
  const Endpoint& Callers() const { return this->callers; }
  /** Websocket endpoint for other entry hosts. */
  const Endpoint& Peers() const { return this->peers; }

  auto operator<=>(const EntryHost&) const = default;

private:
  friend class EntryHostBuilder;

  HostName name;
  DataCentreName dataCentre;
  Endpoint callers;
  Endpoint peers;
};

}
