#include "daemon/minion_registry.h"

#include "machines/minion_state.h"
#include "zones/fleet.h"
#include "zones/slot_share.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sardinecourse {

namespace {

/** Slots of a minion that a host of another data centre may use: enough to
 * spill over to it. */
constexpr std::int32_t kRemoteShare = 1;

std::string
RegionOf(const Fleet& aFleet, const DataCentreName& aName)
{
  for (const DataCentre& dataCentre : aFleet.DataCentres()) {
    if (dataCentre.Name() == aName) {
      return dataCentre.Region();
    }
  }
  return {};
}

}

std::unique_ptr<const MinionTable>
MinionRegistry::Adopt(const Fleet& aFleet)
{
  const std::string region = RegionOf(aFleet, this->home);
  MinionTable::MinionStates local;
  MinionTable::MinionStates remote;
  std::map<MinionName, std::shared_ptr<MinionState>> previous;
  std::swap(previous, this->minions);
  for (const DataCentre& dataCentre : aFleet.DataCentres()) {
    const bool isHome = dataCentre.Name() == this->home;
    if (!isHome && dataCentre.Region() != region) {
      continue;
    }
    for (const Minion& minion : dataCentre.Minions()) {
      const auto existing = previous.find(minion.Name());
      const bool isKept =
        existing != previous.end() && existing->second->Upstream() == minion;
      this->minions[minion.Name()] =
        isKept ? existing->second : std::make_shared<MinionState>(minion);
    }
    this->Add(dataCentre, isHome ? local : remote);
  }
  this->localMinions = local;
  return std::make_unique<const MinionTable>(local, remote);
}

void
MinionRegistry::UpdateShares(
  std::int32_t aHosts,
  const std::vector<std::optional<std::int32_t>>& aPeersInFlight)
{
  for (std::size_t index = 0; index < this->localMinions.size(); ++index) {
    MinionState& state = *this->localMinions[index];
    const std::optional<std::int32_t> peers =
      index < aPeersInFlight.size() ? aPeersInFlight[index] : std::nullopt;
    state.SetShare(SlotShare(state.Upstream().Slots(), aHosts, peers));
  }
}

std::shared_ptr<MinionState>
MinionRegistry::Find(const MinionName& aName) const
{
  const auto found = this->minions.find(aName);
  return found == this->minions.end() ? nullptr : found->second;
}

void
MinionRegistry::Add(const DataCentre& aDataCentre,
                    MinionTable::MinionStates& aTo)
{
  const auto hosts = static_cast<std::int32_t>(aDataCentre.EntryHosts().size());
  const bool isHome = aDataCentre.Name() == this->home;
  for (const Minion& minion : aDataCentre.Minions()) {
    const std::shared_ptr<MinionState>& state = this->minions.at(minion.Name());
    const std::int32_t share =
      isHome ? SlotShare(minion.Slots(), hosts, std::nullopt) : kRemoteShare;
    // A request needs one connection, and a replaced one may take a moment to
    // close.
    const std::int32_t connections =
      isHome ? SlotShare(minion.Connections(), hosts, std::nullopt)
             : 2 * kRemoteShare;
    state->SetShare(share);
    state->SetConnectionShare(std::max(connections, share));
    aTo.push_back(state);
  }
}

}
