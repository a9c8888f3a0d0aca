#include "codecs/stored_value.h"

#include <string_view>

namespace sardinecourse {

namespace {

constexpr std::string_view kAttemptPrefix = "attempt ";

}

std::string
EncodeStoredValue(const StoredValue& aValue)
{
  std::string text(kAttemptPrefix);
  text += aValue.attempt;
  text += '\n';
  text += aValue.value;
  return text;
}

StoredValue
DecodeStoredValue(const std::string& aText)
{
  const std::size_t end = aText.find('\n');
  if (!aText.starts_with(kAttemptPrefix) || end == std::string::npos) {
    return { "", aText };
  }
  return { aText.substr(kAttemptPrefix.size(), end - kAttemptPrefix.size()),
           aText.substr(end + 1) };
}

}
