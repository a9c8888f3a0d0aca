#include "contracts/policy_builder.h"

#include "contracts/policy_key_traits.h"
#include "contracts/policy_overrides.h"

namespace sardinecourse {

PolicyBuilder::PolicyBuilder()
{
  for (const PolicyKeyTraits& traits : AllPolicyKeys()) {
    this->value.values[static_cast<std::size_t>(traits.key)] =
      traits.defaultValue;
  }
}

PolicyBuilder&
PolicyBuilder::Override(SettingsLevel aLevel, const PolicyOverrides& aOverrides)
{
  for (const PolicyKeyTraits& traits : AllPolicyKeys()) {
    const auto index = static_cast<std::size_t>(traits.key);
    if (const std::optional<std::int64_t>& set = aOverrides.Value(traits.key)) {
      this->value.values[index] = *set;
      this->value.origins[index] = aLevel;
    }
  }
  return *this;
}

}
