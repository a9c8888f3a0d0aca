#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sardinecourse {

class Reason;

/** An IPv4 or IPv6 address and a TCP port. */
class Endpoint
{
public:
  Endpoint() = default;

  /** Parses "127.0.0.1:8080" or "[::1]:8080". Returns nullopt and sets aReason
   * for any other text; host names are not resolved. */
  static std::optional<Endpoint> Parse(std::string_view aText, Reason& aReason);

  const std::string& Ip() const { return this->ip; }
  std::uint16_t Port() const { return this->port; }
  /** Formats "127.0.0.1:8080" or "[::1]:8080". */
  std::string Text() const;

  auto operator<=>(const Endpoint&) const = default;

private:
  std::string ip;
  std::uint16_t port = 0;
};

}
