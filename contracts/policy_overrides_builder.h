#pragma once

#include "contracts/policy_overrides.h"
#include "contracts/settings_level.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a PolicyOverrides. Build() returns nullopt and sets aReason if a
 * value is out of bounds or its key cannot be set at this level. */
class PolicyOverridesBuilder
{
public:
  PolicyOverridesBuilder& Level(SettingsLevel aLevel);
  PolicyOverridesBuilder& Value(PolicyKey aKey, std::int64_t aValue);
  std::optional<PolicyOverrides> Build(Reason& aReason) const;

private:
  SettingsLevel level = SettingsLevel::kFleet;
  PolicyOverrides value;
};

}
