#pragma once

#include "contracts/policy_key.h"
#include "contracts/settings_level.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace sardinecourse {

/** Name, default value and bounds of a policy key. */
struct PolicyKeyTraits
{
  PolicyKey key;
  /** Name in YAML; ends in the unit. */
  std::string_view name;
  std::int64_t defaultValue;
  std::int64_t minimum;
  std::int64_t maximum;
  /** The lowest level of the settings tree at which the key may be set. */
  SettingsLevel lowest;
  /** Allowed texts of a key whose value is a text; the value is an index into
   * them. Empty for a numeric key. */
  std::span<const std::string_view> choices;
};

/** Traits of all keys, in the order of PolicyKey. */
const std::array<PolicyKeyTraits, kPolicyKeyCount>&
AllPolicyKeys();

const PolicyKeyTraits&
TraitsOf(PolicyKey aKey);

}
