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

/** The minions that this host may reach, with their counters kept across
 * changes of the settings. Used on the control thread. */
class MinionRegistry
{
public:
  explicit MinionRegistry(DataCentreName aHome)
    : home(std::move(aHome))
  {
  }

  /** The table for a revision of the settings. */
  std::unique_ptr<const MinionTable> Adopt(const Fleet& aFleet);

  /** The minions of the own data centre, in the order of the settings. */
  const MinionTable::Slots& Home() const { return this->homeSlots; }

  /** Shares out the own data centre's minions anew: among aHosts hosts, the
   * others of which have aPeersInFlight at each of Home(), where known. */
  void Share(std::int32_t aHosts,
             const std::vector<std::optional<std::int32_t>>& aPeersInFlight);

  const std::map<MinionName, std::shared_ptr<MinionState>>& All() const
  {
    return this->slots;
  }
  /** Null for a minion that the settings do not name. */
  std::shared_ptr<MinionState> Find(const MinionName& aName) const;

private:
  void Add(const DataCentre& aDataCentre, MinionTable::Slots& aTo);

  DataCentreName home;
  std::map<MinionName, std::shared_ptr<MinionState>> slots;
  MinionTable::Slots homeSlots;
};

}
