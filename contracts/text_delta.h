#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Difference between two texts with a common prefix and suffix: `middle`
 * replaces everything in between. Sizes are in bytes. */
struct TextDelta
{
  std::size_t beforeSize = 0;
  std::size_t prefixSize = 0;
  std::size_t suffixSize = 0;
  std::string middle;

  auto operator<=>(const TextDelta&) const = default;
};

/** Computes the delta that turns aBefore into aAfter. */
TextDelta
MakeDelta(const std::string& aBefore, const std::string& aAfter);

/** Applies the delta to aBefore. Returns nullopt and sets aReason if the sizes
 * in the delta do not match aBefore. */
std::optional<std::string>
ApplyDelta(const std::string& aBefore,
           const TextDelta& aDelta,
           Reason& aReason);

}
