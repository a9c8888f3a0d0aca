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
DomainPolicyBuilder::BatchPatience(double aShare)
{
  this->value.batchPatience = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::Headroom(double aShare)
{
  this->value.headroom = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::MostWaste(double aShare)
{
  this->value.mostWaste = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::NearPatience(double aShare)
{
  this->value.nearPatience = aShare;
  return *this;
}

DomainPolicyBuilder&
DomainPolicyBuilder::UrgentNearPatience(double aShare)
{
  this->value.urgentNearPatience = aShare;
  return *this;
}

std::optional<DomainPolicy>
DomainPolicyBuilder::Build(Reason& aReason) const
{
  for (const double share : { this->value.batchHeadroom,
                              this->value.batchPatience,
                              this->value.headroom,
                              this->value.nearPatience,
                              this->value.urgentNearPatience }) {
    if (share < 0.0 || share > 1.0) {
      aReason =
        Reason(Step::kDecode, "policy", "a share must be between 0 and 1");
      return std::nullopt;
    }
  }
  if (this->value.mostWaste < 0.0) {
    aReason =
      Reason(Step::kDecode, "policy", "most_waste must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
