#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Asks for the settings in force at the peer, if they are of a higher
 * revision. */
struct SettingsRequest
{
  std::int64_t request = 0;
  std::int64_t above = 0;

  auto operator<=>(const SettingsRequest&) const = default;
};

}
