#pragma once

#include "contracts/guarantee.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** A team in one data centre: its quota and its guarantees there. */
class Team
{
public:
  const TeamName& Name() const { return this->name; }
  /** Accelerators the team may hold at the same time, borrowed ones included.
   */
  std::int32_t Quota() const { return this->quota; }
  /** What it can always reclaim. */
  const std::vector<Guarantee>& Guarantees() const { return this->guarantees; }

  auto operator<=>(const Team&) const = default;

private:
  friend class TeamBuilder;

  TeamName name;
  std::int32_t quota = 0;
  std::vector<Guarantee> guarantees;
};

}
