#include "zones/settings_tree.h"

#include "contracts/policy_builder.h"

#include <algorithm>

namespace sardinecourse {

Policy
SettingsTree::Resolve(const SettingsScope& aScope) const
{
  PolicyBuilder builder;
  const SettingsScope path[] = {
    {},
    { aScope.dataCentre, {}, {} },
    { aScope.dataCentre, aScope.team, {} },
    aScope,
  };
  SettingsLevel reached = SettingsLevel::kDefault;
  for (const SettingsScope& scope : path) {
    const auto found = this->scopes.find(scope);
    if (found != this->scopes.end() && scope.Level() > reached) {
      builder.Override(scope.Level(), found->second);
    }
    reached = scope.Level();
  }
  return builder.Build();
}

SettingsScope
SettingsTree::ScopeOf(const DataCentreName& aDataCentre,
                      const ServiceName& aService) const
{
  const auto found = std::find_if(
    this->scopes.begin(), this->scopes.end(), [&](const auto& aEntry) {
      return aEntry.first.dataCentre == aDataCentre &&
             aEntry.first.service == aService;
    });
  const bool isListed = found != this->scopes.end() && !aService.Empty();
  return isListed ? found->first : SettingsScope{ aDataCentre, {}, {} };
}

}
