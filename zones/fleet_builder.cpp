#include "zones/fleet_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

FleetBuilder&
FleetBuilder::Name(FleetName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

FleetBuilder&
FleetBuilder::Revision(std::int64_t aRevision)
{
  this->value.revision = aRevision;
  return *this;
}

FleetBuilder&
FleetBuilder::DataCentres(std::vector<DataCentre> aDataCentres)
{
  this->value.dataCentres = std::move(aDataCentres);
  return *this;
}

FleetBuilder&
FleetBuilder::Settings(SettingsTree aSettings)
{
  this->value.settings = std::move(aSettings);
  return *this;
}

std::optional<Fleet>
FleetBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason =
      Reason(Step::kSettings, this->value.name.Text(), "a fleet needs a name");
    return std::nullopt;
  }
  return this->value;
}

}
