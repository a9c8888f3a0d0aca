#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** Answers a SettingsRequest. */
struct SettingsReply
{
  std::int64_t request = 0;
  std::int64_t revision = 0;
  /** The settings in YAML; empty when the revision is not above the one named
   * in the request. */
  std::string text;

  auto operator<=>(const SettingsReply&) const = default;
};

}
