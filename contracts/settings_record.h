#pragma once

#include "core/wall_time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** An accepted change of the fleet's settings: its revision, author, time and
 * note. */
class SettingsRecord
{
public:
  /** Starts at 1; 0 if no settings were accepted yet. */
  std::int64_t Revision() const { return this->revision; }
  /** Identity of the write attempt that was accepted. */
  const std::string& Identity() const { return this->identity; }
  const std::string& Who() const { return this->who; }
  WallTime When() const { return this->when; }
  const std::string& Note() const { return this->note; }

  auto operator<=>(const SettingsRecord&) const = default;

private:
  friend class SettingsRecordBuilder;

  std::int64_t revision = 0;
  std::string identity;
  std::string who;
  WallTime when;
  std::string note;
};

}
