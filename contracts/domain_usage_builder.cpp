#include "contracts/domain_usage_builder.h"

#include "core/reason.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

DomainUsageBuilder&
DomainUsageBuilder::Bytes(std::int64_t aBytes)
{
  this->value.bytes = aBytes;
  return *this;
}

DomainUsageBuilder&
DomainUsageBuilder::Teams(std::map<TeamName, std::int64_t> aTeams)
{
  this->value.teams = std::move(aTeams);
  return *this;
}

std::optional<DomainUsage>
DomainUsageBuilder::Build(Reason& aReason) const
{
  const bool isNegative =
    this->value.bytes < 0 ||
    std::any_of(this->value.teams.begin(),
                this->value.teams.end(),
                [](const auto& aTeam) { return aTeam.second < 0; });
  if (isNegative) {
    aReason =
      Reason(Step::kDecode, "", "a domain's usage must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
