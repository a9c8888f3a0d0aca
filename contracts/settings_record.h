#pragma once

#include "core/wall_time.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** One accepted change of the fleet's settings: which, by whom, when and why.
 */
class SettingsRecord
{
public:
  /** From 1; zero when nothing was accepted yet. */
  std::int64_t Revision() const { return this->revision; }
  /** Identity of the attempt by which it was accepted. */
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
