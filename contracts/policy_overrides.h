#pragma once

#include "contracts/policy_key.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/** Values set at one level of the settings tree; unset values are inherited. */
class PolicyOverrides
{
public:
  const std::optional<std::int64_t>& Value(PolicyKey aKey) const
  {
    return this->values[static_cast<std::size_t>(aKey)];
  }

  auto operator<=>(const PolicyOverrides&) const = default;

private:
  friend class PolicyOverridesBuilder;

  std::array<std::optional<std::int64_t>, kPolicyKeyCount> values;
};

}
