#include "contracts/policy_overrides_builder.h"

#include "contracts/policy_key_traits.h"
#include "core/reason.h"

namespace sardinecourse {

PolicyOverridesBuilder&
PolicyOverridesBuilder::Level(SettingsLevel aLevel)
{
  this->level = aLevel;
  return *this;
}

PolicyOverridesBuilder&
PolicyOverridesBuilder::Value(PolicyKey aKey, std::int64_t aValue)
{
  this->value.values[static_cast<std::size_t>(aKey)] = aValue;
  return *this;
}

std::optional<PolicyOverrides>
PolicyOverridesBuilder::Build(Reason& aReason) const
{
  for (const PolicyKeyTraits& traits : AllPolicyKeys()) {
    const std::optional<std::int64_t>& set = this->value.Value(traits.key);
    if (!set) {
      continue;
    }
    const std::string name(traits.name);
    if (this->level > traits.lowest) {
      aReason = Reason(Step::kSettings,
                       name,
                       "cannot be set below the level " +
                         std::string(SettingsLevelName(traits.lowest)));
      return std::nullopt;
    }
    if (*set < traits.minimum || *set > traits.maximum) {
      aReason = Reason(Step::kSettings,
                       name,
                       "must be from " + std::to_string(traits.minimum) +
                         " to " + std::to_string(traits.maximum));
      return std::nullopt;
    }
  }
  return this->value;
}

}
