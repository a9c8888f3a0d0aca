#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** How a text differs from the one before: both begin and end alike, and
 * aMiddle stands between. Sizes are in bytes. */
struct TextDelta
{
  std::size_t beforeSize = 0;
  std::size_t prefixSize = 0;
  std::size_t suffixSize = 0;
  std::string middle;

  auto operator<=>(const TextDelta&) const = default;
};

TextDelta
MakeDelta(const std::string& aBefore, const std::string& aAfter);

/** Empty, with the reason, when the delta was made from another text. */
std::optional<std::string>
ApplyDelta(const std::string& aBefore,
           const TextDelta& aDelta,
           Reason& aReason);

}
