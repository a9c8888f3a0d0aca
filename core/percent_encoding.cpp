#include "core/percent_encoding.h"

#include <cctype>
#include <charconv>

namespace sardinecourse {

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kHighBits = 4;
  constexpr unsigned kLowMask = 15;
  std::string text;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || byte == '-' || byte == '_' || byte == '.') {
      text += character;
      continue;
    }
    text += '%';
    text += kDigits[byte >> kHighBits];
    text += kDigits[byte & kLowMask];
  }
  return text;
}

std::string
PercentDecode(std::string_view aText)
{
  constexpr std::size_t kEscapeLength = 3;
  constexpr int kHexadecimal = 16;
  std::string text;
  for (std::size_t index = 0; index < aText.size(); ++index) {
    unsigned byte = 0;
    const std::string_view escape = aText.substr(index, kEscapeLength);
    const char* const digits = escape.data() + 1;
    const char* const end = escape.data() + escape.size();
    if (escape.size() == kEscapeLength && escape.front() == '%' &&
        std::from_chars(digits, end, byte, kHexadecimal).ptr == end) {
      text += static_cast<char>(byte);
      index += kEscapeLength - 1;
      continue;
    }
    text += aText[index];
  }
  return text;
}

}
