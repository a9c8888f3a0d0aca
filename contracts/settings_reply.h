#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** Answer to the SettingsRequest with the same number. */
struct SettingsReply
{
  std::int64_t request = 0;
  std::int64_t revision = 0;
  /** Settings in YAML; empty if the revision is not above the one in the
   * request. */
  std::string text;

  auto operator<=>(const SettingsReply&) const = default;
};

}
