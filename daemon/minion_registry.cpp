#include "daemon/minion_registry.h"

#include "machines/minion_state.h"
#include "zones/fleet.h"
#include "zones/slot_share.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace sardinecourse {

namespace {

/** What a host of another data centre may use of a minion: enough to spill. */
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
  MinionTable::Slots local;
  MinionTable::Slots remote;
  std::map<MinionName, std::shared_ptr<MinionState>> previous;
  std::swap(previous, this->slots);
  for (const DataCentre& dataCentre : aFleet.DataCentres()) {
    const bool isHome = dataCentre.Name() == this->home;
    if (!isHome && dataCentre.Region() != region) {
      continue;
    }
    for (const Minion& minion : dataCentre.Minions()) {
      const auto known = previous.find(minion.Name());
      const bool isKept =
        known != previous.end() && known->second->Upstream() == minion;
      this->slots[minion.Name()] =
        isKept ? known->second : std::make_shared<MinionState>(minion);
    }
    this->Add(dataCentre, isHome ? local : remote);
  }
  this->homeSlots = local;
  return std::make_unique<const MinionTable>(local, remote);
}

void
MinionRegistry::Share(
  std::int32_t aHosts,
  const std::vector<std::optional<std::int32_t>>& aPeersInFlight)
{
  for (std::size_t index = 0; index < this->homeSlots.size(); ++index) {
    MinionState& slot = *this->homeSlots[index];
    const std::optional<std::int32_t> peers =
      index < aPeersInFlight.size() ? aPeersInFlight[index] : std::nullopt;
    slot.SetShare(SlotShare(slot.Upstream().Slots(), aHosts, peers));
  }
}

std::shared_ptr<MinionState>
MinionRegistry::Find(const MinionName& aName) const
{
  const auto found = this->slots.find(aName);
  return found == this->slots.end() ? nullptr : found->second;
}

void
MinionRegistry::Add(const DataCentre& aDataCentre, MinionTable::Slots& aTo)
{
  const auto hosts = static_cast<std::int32_t>(aDataCentre.EntryHosts().size());
  const bool isHome = aDataCentre.Name() == this->home;
  for (const Minion& minion : aDataCentre.Minions()) {
    const std::shared_ptr<MinionState>& slot = this->slots.at(minion.Name());
    const std::int32_t share =
      isHome ? SlotShare(minion.Slots(), hosts, std::nullopt) : kRemoteShare;
    // A request needs one connection, and a replaced one may linger a little.
    const std::int32_t connections =
      isHome ? SlotShare(minion.Connections(), hosts, std::nullopt)
             : 2 * kRemoteShare;
    slot->SetShare(share);
    slot->SetConnectionShare(std::max(connections, share));
    aTo.push_back(slot);
  }
}

}
