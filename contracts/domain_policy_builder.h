#pragma once

#include "contracts/domain_policy.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainPolicy. Build() returns nullopt and sets aReason if a share
 * is not from 0 to 1 or MaxPreemptionWaste is negative. */
class DomainPolicyBuilder
{
public:
  DomainPolicyBuilder& BatchHeadroom(double aShare);
  DomainPolicyBuilder& BatchWaitShare(double aShare);
  DomainPolicyBuilder& Headroom(double aShare);
  DomainPolicyBuilder& MaxPreemptionWaste(double aShare);
  DomainPolicyBuilder& LocalityWaitShare(double aShare);
  DomainPolicyBuilder& UrgentLocalityWaitShare(double aShare);
  DomainPolicyBuilder& IsPaceUsed(bool aIsUsed);
  DomainPolicyBuilder& IsRoomShared(bool aIsShared);
  DomainPolicyBuilder& AreKindsSeparated(bool aAreSeparated);
  std::optional<DomainPolicy> Build(Reason& aReason) const;

private:
  DomainPolicy value;
};

}
