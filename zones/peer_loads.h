#pragma once

#include "contracts/minion_loads.h"
#include "core/names.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinecourse {

/** Requests in flight at the data centre's minions, as its other entry hosts
 * told. It is a value: what is told makes a new one. */
class PeerLoads
{
public:
  PeerLoads() = default;
  /** Nothing is told yet; indexes go by the settings of that revision. */
  explicit PeerLoads(std::int64_t aRevision);

  /** A message of another revision makes that peer's loads unknown. */
  PeerLoads WithReport(const HostName& aPeer, const MinionLoads& aLoads) const;
  /** The peer's loads are unknown from now on. */
  PeerLoads WithoutPeer(const HostName& aPeer) const;

  /** What all aPeers together have in flight at a minion; empty when any of
   * them has not told. */
  std::optional<std::int64_t> InFlight(const std::vector<HostName>& aPeers,
                                       std::size_t aIndex) const;

  auto operator<=>(const PeerLoads&) const = default;

private:
  std::int64_t revision = 0;
  std::map<HostName, std::map<std::int64_t, std::int64_t>> loads;
};

}
