#include "contracts/ownership_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

OwnershipBuilder&
OwnershipBuilder::Host(HostName aHost)
{
  this->value.host = std::move(aHost);
  return *this;
}

OwnershipBuilder&
OwnershipBuilder::Term(std::int64_t aTerm)
{
  this->value.term = aTerm;
  return *this;
}

OwnershipBuilder&
OwnershipBuilder::Lease(Milliseconds aLease)
{
  this->value.lease = aLease;
  return *this;
}

OwnershipBuilder&
OwnershipBuilder::Electorate(std::vector<HostName> aElectorate)
{
  this->value.electorate = std::move(aElectorate);
  return *this;
}

OwnershipBuilder&
OwnershipBuilder::Renewal(std::int64_t aRenewal)
{
  this->value.renewal = aRenewal;
  return *this;
}

std::optional<Ownership>
OwnershipBuilder::Build(Reason& aReason) const
{
  if (this->value.host.Empty()) {
    aReason = Reason(Step::kLease, "", "an ownership needs a host");
    return std::nullopt;
  }
  if (this->value.term < 1) {
    aReason = Reason(
      Step::kLease, this->value.host.Text(), "the term must be at least 1");
    return std::nullopt;
  }
  if (this->value.lease.count() <= 0) {
    aReason = Reason(
      Step::kLease, this->value.host.Text(), "the lease must be positive");
    return std::nullopt;
  }
  return this->value;
}

}
