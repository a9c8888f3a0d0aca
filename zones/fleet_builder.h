#pragma once

#include "zones/fleet.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Fleet. Build() returns nullopt and sets aReason when the name is
 * missing. */
class FleetBuilder
{
public:
  FleetBuilder& Name(FleetName aName);
  FleetBuilder& Revision(std::int64_t aRevision);
  FleetBuilder& DataCentres(std::vector<DataCentre> aDataCentres);
  FleetBuilder& Settings(SettingsTree aSettings);
  std::optional<Fleet> Build(Reason& aReason) const;

private:
  Fleet value;
};

}
