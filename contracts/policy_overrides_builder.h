#pragma once

#include "contracts/policy_overrides.h"
#include "contracts/settings_level.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a PolicyOverrides; Build() is empty, with the reason, when a value is
 * out of its bounds or has no meaning at the level. */
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
