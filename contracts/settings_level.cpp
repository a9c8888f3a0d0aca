#include "contracts/settings_level.h"

namespace sardinecourse {

std::string_view
SettingsLevelName(SettingsLevel aLevel)
{
  switch (aLevel) {
    case SettingsLevel::kDefault:
      return "default";
    case SettingsLevel::kFleet:
      return "fleet";
    case SettingsLevel::kDataCentre:
      return "data_centre";
    case SettingsLevel::kTeam:
      return "team";
    case SettingsLevel::kService:
      return "service";
  }
  return "unknown";
}

}
