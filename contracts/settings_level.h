#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Where in the settings tree a value comes from; each level inherits from the
 * one before it. */
enum class SettingsLevel : std::uint8_t
{
  kDefault,
  kFleet,
  kDataCentre,
  kTeam,
  kService
};

/** Name of a level as operators see it, for example "data_centre". */
std::string_view
SettingsLevelName(SettingsLevel aLevel);

}
