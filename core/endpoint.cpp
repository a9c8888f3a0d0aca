#include "core/endpoint.h"

#include "core/reason.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>

namespace sardinecourse {

namespace {

constexpr std::size_t kAddressBytes = 16;

bool
IsIpAddress(const std::string& aText)
{
  std::array<unsigned char, kAddressBytes> bytes{};
  return inet_pton(AF_INET, aText.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, aText.c_str(), bytes.data()) == 1;
}

}

std::optional<Endpoint>
Endpoint::Parse(std::string_view aText, Reason& aReason)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    aReason =
      Reason(Step::kDecode, std::string(aText), "an endpoint must be IP:PORT");
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  Endpoint endpoint;
  endpoint.ip = std::string(host);
  if (!IsIpAddress(endpoint.ip)) {
    aReason = Reason(
      Step::kDecode, std::string(aText), "the host must be an IP address");
    return std::nullopt;
  }
  const std::string_view digits = aText.substr(colon + 1);
  const auto [end, error] = std::from_chars(
    digits.data(), digits.data() + digits.size(), endpoint.port);
  if (error != std::errc() || end != digits.data() + digits.size() ||
      endpoint.port == 0) {
    aReason =
      Reason(Step::kDecode, std::string(aText), "the port must be 1 to 65535");
    return std::nullopt;
  }
  return endpoint;
}

std::string
Endpoint::Text() const
{
  const bool isIpV6 = this->ip.find(':') != std::string::npos;
  return (isIpV6 ? "[" + this->ip + "]" : this->ip) + ":" +
         std::to_string(this->port);
}

}
