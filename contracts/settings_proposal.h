#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

/** A settings change that an operator requests to put in force. */
struct SettingsProposal
{
  /** Revision that the proposal replaces. If empty, it is accepted only as the
   * first revision, so that an old file never replaces a newer one. */
  std::optional<std::int64_t> expectedRevision;
  std::string who;
  std::string note;
  /** File name for error messages about the text. */
  std::string file;
  std::string yaml;

  auto operator<=>(const SettingsProposal&) const = default;
};

}
