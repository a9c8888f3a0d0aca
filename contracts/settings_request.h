#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Asks a peer for its settings in force, if their revision is higher than
 * `above`. */
struct SettingsRequest
{
  std::int64_t request = 0;
  std::int64_t above = 0;

  auto operator<=>(const SettingsRequest&) const = default;
};

}
