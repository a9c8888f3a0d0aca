#pragma once

#include "contracts/ownership.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds an Ownership. Build() returns nullopt and sets aReason if the host is
 * missing, the term is below 1 or the lease is not positive. */
class OwnershipBuilder
{
public:
  OwnershipBuilder& Host(HostName aHost);
  OwnershipBuilder& Term(std::int64_t aTerm);
  OwnershipBuilder& Lease(Milliseconds aLease);
  OwnershipBuilder& Electorate(std::vector<HostName> aElectorate);
  OwnershipBuilder& Renewal(std::int64_t aRenewal);
  std::optional<Ownership> Build(Reason& aReason) const;

private:
  Ownership value;
};

}
