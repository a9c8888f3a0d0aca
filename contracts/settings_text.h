#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** YAML text of one accepted revision of the fleet's settings. */
struct SettingsText
{
  /** 0 if no settings were read yet. */
  std::int64_t revision = 0;
  std::string yaml;

  auto operator<=>(const SettingsText&) const = default;
};

}
