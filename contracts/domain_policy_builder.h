#pragma once

#include "contracts/domain_policy.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainPolicy; Build() is empty, with the reason, when a share is
 * out of its range. */
class DomainPolicyBuilder
{
public:
  DomainPolicyBuilder& BatchHeadroom(double aShare);
  DomainPolicyBuilder& BatchWaitShare(double aShare);
  DomainPolicyBuilder& Headroom(double aShare);
  DomainPolicyBuilder& MaxPreemptionWaste(double aShare);
  DomainPolicyBuilder& LocalityWaitShare(double aShare);
  DomainPolicyBuilder& UrgentLocalityWaitShare(double aShare);
  std::optional<DomainPolicy> Build(Reason& aReason) const;

private:
  DomainPolicy value;
};

}
