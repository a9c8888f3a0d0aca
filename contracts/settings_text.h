#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** The YAML text of one accepted revision of the fleet's settings. */
struct SettingsText
{
  /** Zero while no settings are known. */
  std::int64_t revision = 0;
  std::string yaml;

  auto operator<=>(const SettingsText&) const = default;
};

}
