#include "zones/peer_loads.h"

namespace sardinecourse {

PeerLoads::PeerLoads(std::int64_t aRevision)
  : revision(aRevision)
{
}

PeerLoads
PeerLoads::WithReport(const HostName& aPeer, const MinionLoads& aLoads) const
{
  if (aLoads.revision != this->revision) {
    return this->WithoutPeer(aPeer);
  }
  PeerLoads next = *this;
  if (aLoads.isFull) {
    next.loads[aPeer].clear();
  }
  // Changes have no meaning without the full report that they apply to.
  const auto found = next.loads.find(aPeer);
  if (found == next.loads.end()) {
    return next;
  }
  std::map<std::int64_t, std::int64_t>& reported = found->second;
  for (const MinionLoad& load : aLoads.loads) {
    reported[load.index] = load.inFlight;
  }
  return next;
}

PeerLoads
PeerLoads::WithoutPeer(const HostName& aPeer) const
{
  PeerLoads next = *this;
  next.loads.erase(aPeer);
  return next;
}

std::optional<std::int64_t>
PeerLoads::InFlight(const std::vector<HostName>& aPeers,
                    std::size_t aIndex) const
{
  std::int64_t sum = 0;
  for (const HostName& peer : aPeers) {
    const auto reported = this->loads.find(peer);
    if (reported == this->loads.end()) {
      return std::nullopt;
    }
    const auto load = reported->second.find(static_cast<std::int64_t>(aIndex));
    sum += load == reported->second.end() ? 0 : load->second;
  }
  return sum;
}

}
