#pragma once

#include "core/names.h"
#include "zones/minion_table.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace sardinecourse {

class DataCentre;
class Fleet;
class Minion;
class MinionState;

/** The minions that this host may use: those of its data centre and of the
 * other data centres of the same region. Their counters are kept across changes
 * of the settings. Used on the control thread. */
class MinionRegistry
{
public:
  explicit MinionRegistry(DataCentreName aHome)
    : home(std::move(aHome))
  {
  }

  /** Applies a revision of the settings and returns its table for routing. */
  std::unique_ptr<const MinionTable> Adopt(const Fleet& aFleet);

  /** The minions of this host's data centre, in the order of the settings. */
  const MinionTable::MinionStates& LocalMinions() const
  {
    return this->localMinions;
  }

  /** Recomputes this host's share of the slots of each local minion. aHosts is
   * the number of serving hosts; aPeersInFlight holds the requests that the
   * other hosts have in flight at each of LocalMinions(), empty where not
   * known. */
  void UpdateShares(
    std::int32_t aHosts,
    const std::vector<std::optional<std::int32_t>>& aPeersInFlight);

  const std::map<MinionName, std::shared_ptr<MinionState>>& All() const
  {
    return this->minions;
  }
  /** Null for a minion that is not among All(). */
  std::shared_ptr<MinionState> Find(const MinionName& aName) const;

private:
  void Add(const DataCentre& aDataCentre, MinionTable::MinionStates& aTo);

  DataCentreName home;
  std::map<MinionName, std::shared_ptr<MinionState>> minions;
  MinionTable::MinionStates localMinions;
};

}
