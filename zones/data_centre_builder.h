#pragma once

#include "zones/data_centre.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DataCentre; Build() returns empty and sets aReason when the name is
 * missing.
 */
class DataCentreBuilder
{
public:
  DataCentreBuilder& Name(DataCentreName aName);
  DataCentreBuilder& Region(std::string aRegion);
  DataCentreBuilder& EntryHosts(std::vector<EntryHost> aEntryHosts);
  DataCentreBuilder& Workers(std::vector<Worker> aWorkers);
  DataCentreBuilder& Minions(std::vector<Minion> aMinions);
  DataCentreBuilder& Teams(std::vector<Team> aTeams);
  std::optional<DataCentre> Build(Reason& aReason) const;

private:
  DataCentre value;
};

}
