#pragma once

#include "contracts/guarantee.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace sardinecourse {

/** A team's quota and guarantees in one data centre. */
class Team
{
public:
  const TeamName& Name() const { return this->name; }
  /** Max accelerators that the team may use at the same time, including
   * borrowed ones. */
  std::int32_t Quota() const { return this->quota; }
  /** Accelerators that the team can always reclaim. */
  const std::vector<Guarantee>& Guarantees() const { return this->guarantees; }

  auto operator<=>(const Team&) const = default;

private:
  friend class TeamBuilder;

  TeamName name;
  std::int32_t quota = 0;
  std::vector<Guarantee> guarantees;
};

}
