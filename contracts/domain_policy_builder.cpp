#include "contracts/domain_policy_builder.h"

#include "core/reason.h"

namespace sardinecourse {

DomainPolicyBuilder&
DomainPolicyBuilder::BatchHeadroom(double aShare)
{
  this->value.batchHeadroom = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::BatchWaitShare(double aShare)
{
  this->value.batchWaitShare = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::Headroom(double aShare)
{
  this->value.headroom = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::MaxPreemptionWaste(double aShare)
{
  this->value.maxPreemptionWaste = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::LocalityWaitShare(double aShare)
{
  this->value.localityWaitShare = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::UrgentLocalityWaitShare(double aShare)
{
  this->value.urgentLocalityWaitShare = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::IsPaceUsed(bool aIsUsed)
{
  this->value.isPaceUsed = aIsUsed;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::IsRoomShared(bool aIsShared)
{
  this->value.isRoomShared = aIsShared;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::AreKindsSeparated(bool aAreSeparated)
{
  this->value.areKindsSeparated = aAreSeparated;
  return *this;
}

std::optional<DomainPolicy>
DomainPolicyBuilder::Build(Reason& aReason) const
{
  for (const double share : { this->value.batchHeadroom,
                              this->value.batchWaitShare,
                              this->value.headroom,
                              this->value.localityWaitShare,
                              this->value.urgentLocalityWaitShare }) {
    if (share < 0.0 || share > 1.0) {
      aReason =
        Reason(Step::kDecode, "policy", "a share must be between 0 and 1");
      return std::nullopt;
    }
  }
  if (this->value.maxPreemptionWaste < 0.0) {
    aReason =
      Reason(Step::kDecode, "policy", "most_waste must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
