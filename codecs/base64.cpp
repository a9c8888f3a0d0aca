#include "codecs/base64.h"

#include <boost/beast/core/detail/base64.hpp>

namespace sardinecourse {

namespace base64 = boost::beast::detail::base64;

namespace {

constexpr std::size_t kCharactersPerGroup = 4;

}

std::string
EncodeBase64(std::string_view aBytes)
{
  std::string text(base64::encoded_size(aBytes.size()), '\0');
  text.resize(base64::encode(text.data(), aBytes.data(), aBytes.size()));
  return text;
}

std::optional<std::string>
DecodeBase64(std::string_view aText)
{
  if (aText.size() % kCharactersPerGroup != 0) {
    return std::nullopt;
  }
  const std::size_t end = aText.find_last_not_of('=');
  const std::size_t digitCount = end == std::string_view::npos ? 0 : end + 1;
  std::string bytes(base64::decoded_size(aText.size()), '\0');
  const auto [written, read] =
    base64::decode(bytes.data(), aText.data(), aText.size());
  if (read < digitCount) {
    return std::nullopt;
  }
  bytes.resize(written);
  return bytes;
}

}
