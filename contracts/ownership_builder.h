#pragma once

#include "contracts/ownership.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Ownership; Build() is empty, with the reason, when a field is
 * missing or out of range. */
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
