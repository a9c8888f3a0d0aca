#include "zones/data_centre_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

DataCentreBuilder&
DataCentreBuilder::Name(DataCentreName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

DataCentreBuilder&
DataCentreBuilder::Region(std::string aRegion)
{
  this->value.region = std::move(aRegion);
  return *this;
}

DataCentreBuilder&
DataCentreBuilder::EntryHosts(std::vector<EntryHost> aEntryHosts)
{
  this->value.entryHosts = std::move(aEntryHosts);
  return *this;
}

DataCentreBuilder&
DataCentreBuilder::Workers(std::vector<Worker> aWorkers)
{
  this->value.workers = std::move(aWorkers);
  return *this;
}

DataCentreBuilder&
DataCentreBuilder::Minions(std::vector<Minion> aMinions)
{
  this->value.minions = std::move(aMinions);
  return *this;
}

DataCentreBuilder&
DataCentreBuilder::Teams(std::vector<Team> aTeams)
{
  this->value.teams = std::move(aTeams);
  return *this;
}

std::optional<DataCentre>
DataCentreBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason = Reason(
      Step::kSettings, this->value.name.Text(), "a data centre needs a name");
    return std::nullopt;
  }
  return this->value;
}

}
