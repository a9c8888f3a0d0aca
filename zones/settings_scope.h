#pragma once

#include "contracts/settings_level.h"
#include "core/names.h"

#include <compare>

namespace sardinecourse {

/** A place of the settings tree: the first empty name ends the path. */
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
