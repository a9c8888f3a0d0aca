#pragma once

#include <compare>
#include <string>

namespace sardinecourse {

/** A policy value in force and the level it comes from, as texts for
 * display. */
struct SettingsOrigin
{
  std::string key;
  std::string value;
  std::string level;

  auto operator<=>(const SettingsOrigin&) const = default;
};

}
