#include "contracts/domain_owner_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

DomainOwnerBuilder&
DomainOwnerBuilder::Host(HostName aHost)
{
  this->value.host = std::move(aHost);
  return *this;
}

DomainOwnerBuilder&
DomainOwnerBuilder::Process(std::string aProcess)
{
  this->value.process = std::move(aProcess);
  return *this;
}

DomainOwnerBuilder&
DomainOwnerBuilder::Term(std::int64_t aTerm)
{
  this->value.term = aTerm;
  return *this;
}

DomainOwnerBuilder&
DomainOwnerBuilder::Renewal(std::int64_t aRenewal)
{
  this->value.renewal = aRenewal;
  return *this;
}

DomainOwnerBuilder&
DomainOwnerBuilder::IsReleased(bool aIsReleased)
{
  this->value.isReleased = aIsReleased;
  return *this;
}

DomainOwnerBuilder&
DomainOwnerBuilder::BoundsKeptSince(std::int64_t aTerm)
{
  this->value.boundsKeptSince = aTerm;
  return *this;
}

DomainOwnerBuilder&
DomainOwnerBuilder::RenewsUntilMs(std::int64_t aStoreMs)
{
  this->value.renewsUntilMs = aStoreMs;
  return *this;
}

DomainOwnerBuilder&
DomainOwnerBuilder::OthersUntilMs(std::int64_t aStoreMs)
{
  this->value.othersUntilMs = aStoreMs;
  return *this;
}

std::optional<DomainOwner>
DomainOwnerBuilder::Build(Reason& aReason) const
{
  if (this->value.host.Empty()) {
    aReason = Reason(Step::kLease, "", "an owner needs a host");
    return std::nullopt;
  }
  return this->value;
}

}
