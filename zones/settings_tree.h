#pragma once

#include "contracts/policy.h"
#include "contracts/policy_overrides.h"
#include "zones/settings_scope.h"

#include <compare>
#include <map>

namespace sardinecourse {

/** The policies of a fleet: fleet, data centre, team and service, each of which
 * inherits what it does not override. Made by SettingsTreeBuilder. */
class SettingsTree
{
public:
  /** The policy in force at aScope. A scope that the tree does not list has the
   * policy of its nearest ancestor. */
  Policy Resolve(const SettingsScope& aScope) const;

  /** The scope of a service in a data centre, under the team that lists it; the
   * scope of the data centre when no team does. */
  SettingsScope ScopeOf(const DataCentreName& aDataCentre,
                        const ServiceName& aService) const;

  const std::map<SettingsScope, PolicyOverrides>& Scopes() const
  {
    return this->scopes;
  }

  auto operator<=>(const SettingsTree&) const = default;

private:
  friend class SettingsTreeBuilder;

  std::map<SettingsScope, PolicyOverrides> scopes;
};

}
