#pragma once

#include "core/names.h"
#include "zones/minion_table.h"

#include <map>
#include <memory>

namespace sardinecourse {

class DataCentre;
class Fleet;
class Minion;
class MinionSlot;

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

  /** Null for a minion that the settings do not name. */
  std::shared_ptr<MinionSlot> Find(const MinionName& aName) const;

private:
  void Add(const DataCentre& aDataCentre, MinionTable::Slots& aTo);

  DataCentreName home;
  std::map<MinionName, std::shared_ptr<MinionSlot>> slots;
};

}
