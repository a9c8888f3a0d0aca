#pragma once

#include "contracts/settings_level.h"
#include "core/names.h"

#include <compare>

namespace sardinecourse {

/** Path of a node in the settings tree; it ends at the first empty name. */
struct SettingsScope
{
  DataCentreName dataCentre;
  TeamName team;
  ServiceName service;

  SettingsLevel Level() const
  {
    if (this->dataCentre.Empty()) {
      return SettingsLevel::kFleet;
    }
    if (this->team.Empty()) {
      return SettingsLevel::kDataCentre;
    }
    return this->service.Empty() ? SettingsLevel::kTeam
                                 : SettingsLevel::kService;
  }

  auto operator<=>(const SettingsScope&) const = default;
};

}
