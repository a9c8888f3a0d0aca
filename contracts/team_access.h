#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** A team's API keys and its guaranteed accelerators. */
class TeamAccess
{
public:
  const TeamName& Team() const { return this->team; }
  /** Keys that the team's callers authenticate with. */
  const std::vector<std::string>& Keys() const { return this->keys; }
  /** Number of accelerators guaranteed to the team's jobs of priority 0. */
  std::int64_t Guaranteed() const { return this->guaranteed; }

  auto operator<=>(const TeamAccess&) const = default;

private:
  friend class TeamAccessBuilder;

  TeamName team;
  std::vector<std::string> keys;
  std::int64_t guaranteed = 0;
};

}
