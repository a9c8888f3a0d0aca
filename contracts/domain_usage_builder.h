#pragma once

#include "contracts/domain_usage.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainUsage. Build() returns nullopt and sets aReason if an amount
 * is negative. */
class DomainUsageBuilder
{
public:
  DomainUsageBuilder& Bytes(std::int64_t aBytes);
  DomainUsageBuilder& Teams(std::map<TeamName, std::int64_t> aTeams);
  std::optional<DomainUsage> Build(Reason& aReason) const;

private:
  DomainUsage value;
};

}
