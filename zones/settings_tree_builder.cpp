#include "zones/settings_tree_builder.h"

#include "core/reason.h"

#include <set>
#include <utility>

namespace sardinecourse {

SettingsTreeBuilder&
SettingsTreeBuilder::Scope(SettingsScope aScope,
                           const PolicyOverrides& aOverrides)
{
  const bool isNew = this->value.scopes.emplace(aScope, aOverrides).second;
  if (!isNew && !this->duplicate) {
    this->duplicate = std::move(aScope);
  }
  return *this;
}

std::optional<SettingsTree>
SettingsTreeBuilder::Build(Reason& aReason) const
{
  if (this->duplicate) {
    aReason = Reason(Step::kSettings,
                     this->duplicate->team.Text(),
                     "a scope of the settings tree is given twice");
    return std::nullopt;
  }
  std::set<std::pair<DataCentreName, ServiceName>> services;
  for (const auto& [scope, overrides] : this->value.scopes) {
    const bool isService = scope.Level() == SettingsLevel::kService;
    if (isService &&
        !services.emplace(scope.dataCentre, scope.service).second) {
      aReason = Reason(Step::kSettings,
                       scope.service.Text(),
                       "two teams of data centre " + scope.dataCentre.Text() +
                         " list the same service");
      return std::nullopt;
    }
  }
  return this->value;
}

}
