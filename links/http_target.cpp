#include "links/http_target.h"

#include <cctype>
#include <charconv>

namespace sardinecourse {

namespace {

constexpr std::size_t kEscapeLength = 3;
constexpr int kHexBase = 16;

/** Undoes %XX; a malformed escape stands for itself. */
std::string
Unescape(std::string_view aText)
{
  std::string text;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    const std::string_view escape = aText.substr(at, kEscapeLength);
    unsigned char byte = 0;
    const char* end = escape.data() + escape.size();
    const bool isEscape =
      escape.size() == kEscapeLength && escape.front() == '%' &&
      std::from_chars(escape.data() + 1, end, byte, kHexBase).ptr == end;
    if (isEscape) {
      text += static_cast<char>(byte);
      at += kEscapeLength - 1;
    } else {
      text += aText[at];
    }
  }
  return text;
}

}

HttpTarget::HttpTarget(std::string_view aTarget)
{
  const std::size_t question = aTarget.find('?');
  this->path = std::string(aTarget.substr(0, question));
  if (question == std::string_view::npos) {
    return;
  }
  std::string_view rest = aTarget.substr(question + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    this->AddQuery(rest.substr(0, end));
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
}

std::string
HttpTarget::Query(const std::string& aKey) const
{
  const auto found = this->query.find(aKey);
  return found == this->query.end() ? "" : found->second;
}

void
HttpTarget::AddQuery(std::string_view aPair)
{
  const std::size_t equals = aPair.find('=');
  const std::string_view value =
    equals == std::string_view::npos ? "" : aPair.substr(equals + 1);
  this->query[Unescape(aPair.substr(0, equals))] = Unescape(value);
}

std::string
EscapeQuery(std::string_view aText)
{
  constexpr std::string_view kHex = "0123456789ABCDEF";
  constexpr unsigned kHighShift = 4;
  constexpr unsigned kLowMask = 15;
  std::string text;
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' ||
        character == '.') {
      text += character;
      continue;
    }
    text += '%';
    text += kHex[byte >> kHighShift];
    text += kHex[byte & kLowMask];
  }
  return text;
}

}
