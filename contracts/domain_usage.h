#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <map>

namespace sardinecourse {

/** Memory that the accepted jobs of a scheduling domain take in its holder. */
class DomainUsage
{
public:
  /** Bytes of all jobs. */
  std::int64_t Bytes() const { return this->bytes; }
  /** Bytes of a team's jobs. */
  std::int64_t BytesOf(const TeamName& aTeam) const
  {
    const auto found = this->teams.find(aTeam);
    return found == this->teams.end() ? 0 : found->second;
  }
  /** The usage with one more job of the team. */
  DomainUsage With(const TeamName& aTeam, std::int64_t aBytes) const
  {
    DomainUsage sum = *this;
    sum.bytes += aBytes;
    sum.teams[aTeam] += aBytes;
    return sum;
  }
  const std::map<TeamName, std::int64_t>& Teams() const { return this->teams; }

  auto operator<=>(const DomainUsage&) const = default;

private:
  friend class DomainUsageBuilder;

  std::int64_t bytes = 0;
  std::map<TeamName, std::int64_t> teams;
};

}
