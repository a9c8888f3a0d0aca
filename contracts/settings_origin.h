#pragma once

#include <compare>
#include <string>

namespace sardinecourse {

/** One policy value in force and the level it comes from, as shown. */
struct SettingsOrigin
{
  std::string key;
  std::string value;
  std::string level;

  auto operator<=>(const SettingsOrigin&) const = default;
};

}
