#include "contracts/text_delta.h"

#include "core/reason.h"

#include <algorithm>

namespace sardinecourse {

TextDelta
MakeDelta(const std::string& aBefore, const std::string& aAfter)
{
  const auto prefix =
    std::mismatch(aBefore.begin(), aBefore.end(), aAfter.begin(), aAfter.end());
  const auto prefixSize =
    static_cast<std::size_t>(prefix.first - aBefore.begin());
  // The suffix must not overlap the prefix in either text.
  const auto suffix = std::mismatch(aBefore.rbegin(),
                                    std::make_reverse_iterator(prefix.first),
                                    aAfter.rbegin(),
                                    std::make_reverse_iterator(prefix.second));
  const auto suffixSize =
    static_cast<std::size_t>(suffix.first - aBefore.rbegin());
  return { aBefore.size(),
           prefixSize,
           suffixSize,
           aAfter.substr(prefixSize, aAfter.size() - prefixSize - suffixSize) };
}

std::optional<std::string>
ApplyDelta(const std::string& aBefore, const TextDelta& aDelta, Reason& aReason)
{
  const bool isApplicable =
    aDelta.beforeSize == aBefore.size() &&
    aDelta.prefixSize <= aBefore.size() &&
    aDelta.suffixSize <= aBefore.size() - aDelta.prefixSize;
  if (!isApplicable) {
    aReason = Reason(
      Step::kSettings, "", "the delta does not match the size of the text");
    return std::nullopt;
  }
  return aBefore.substr(0, aDelta.prefixSize) + aDelta.middle +
         aBefore.substr(aBefore.size() - aDelta.suffixSize);
}

}
