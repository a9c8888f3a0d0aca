#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

/** What an operator asks to put in force. */
struct SettingsProposal
{
  /** The revision that it is meant to replace. Without one it is accepted only
   * as the first revision, so that an old file never replaces a newer one. */
  std::optional<std::int64_t> expectedRevision;
  std::string who;
  std::string note;
  /** Names the text in messages about its faults. */
  std::string file;
  std::string yaml;

  auto operator<=>(const SettingsProposal&) const = default;
};

}
