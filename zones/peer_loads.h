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

/** Requests in flight at the data centre's minions, as reported by its other
 * entry hosts. It is an immutable value: each report returns a new one. */
class PeerLoads
{
public:
  PeerLoads() = default;
  /** No reports yet; indexes refer to the settings of aRevision. */
  explicit PeerLoads(std::int64_t aRevision);

  /** A report of another settings revision makes the peer's loads unknown. */
  PeerLoads WithReport(const HostName& aPeer, const MinionLoads& aLoads) const;
  /** Makes the peer's loads unknown until its next full report. */
  PeerLoads WithoutPeer(const HostName& aPeer) const;

  /** Sum of the requests that aPeers have in flight at the minion with index
   * aIndex; empty when the loads of any of them are unknown. */
  std::optional<std::int64_t> InFlight(const std::vector<HostName>& aPeers,
                                       std::size_t aIndex) const;

  auto operator<=>(const PeerLoads&) const = default;

private:
  std::int64_t revision = 0;
  std::map<HostName, std::map<std::int64_t, std::int64_t>> loads;
};

}
