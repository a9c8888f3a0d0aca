#pragma once

#include "contracts/domain_owner.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainOwner. Build() returns nullopt and sets aReason if the host
 * is missing. */
class DomainOwnerBuilder
{
public:
  DomainOwnerBuilder& Host(HostName aHost);
  DomainOwnerBuilder& Process(std::string aProcess);
  DomainOwnerBuilder& Term(std::int64_t aTerm);
  DomainOwnerBuilder& Renewal(std::int64_t aRenewal);
  DomainOwnerBuilder& IsReleased(bool aIsReleased);
  DomainOwnerBuilder& BoundsKeptSince(std::int64_t aTerm);
  DomainOwnerBuilder& RenewsUntilMs(std::int64_t aStoreMs);
  DomainOwnerBuilder& OthersUntilMs(std::int64_t aStoreMs);
  std::optional<DomainOwner> Build(Reason& aReason) const;

private:
  DomainOwner value;
};

}
