#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Level of the settings tree that a value comes from; each level inherits from
 * the one before it. */
enum class SettingsLevel : std::uint8_t
{
  kDefault,
  kFleet,
  kDataCentre,
  kTeam,
  kService
};

/** Name of a level in texts for operators, for example "data_centre". */
std::string_view
SettingsLevelName(SettingsLevel aLevel);

}
