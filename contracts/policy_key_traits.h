#pragma once

#include "contracts/policy_key.h"
#include "contracts/settings_level.h"

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

namespace sardinecourse {

/** Name, default and bounds of one policy key. */
struct PolicyKeyTraits
{
  PolicyKey key;
  /** As written in YAML; it ends in the unit. */
  std::string_view name;
  std::int64_t initial;
  std::int64_t least;
  std::int64_t most;
  /** The lowest level at which the key has a meaning. */
  SettingsLevel lowest;
  /** For a key whose value is a word: its words, the value being an index. */
  std::span<const std::string_view> words;
};

/** In the order of PolicyKey. */
const std::array<PolicyKeyTraits, kPolicyKeyCount>&
AllPolicyKeys();

const PolicyKeyTraits&
TraitsOf(PolicyKey aKey);

}
