#pragma once

#include "core/names.h"
#include "zones/data_centre.h"
#include "zones/settings_tree.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** The whole fleet as described by one revision of the settings. */
class Fleet
{
public:
  const FleetName& Name() const { return this->name; }
  /** Increases by one with each accepted change. */
  std::int64_t Revision() const { return this->revision; }
  const std::vector<DataCentre>& DataCentres() const
  {
    return this->dataCentres;
  }

  /** The policies of the fleet, its data centres, teams and services. */
  const SettingsTree& Settings() const { return this->settings; }

  auto operator<=>(const Fleet&) const = default;

private:
  friend class FleetBuilder;

  FleetName name;
  std::int64_t revision = 0;
  std::vector<DataCentre> dataCentres;
  SettingsTree settings;
};

}
