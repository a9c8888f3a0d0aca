#pragma once

#include <compare>
#include <string>

namespace sardinecourse {

/** One header field of an HTTP message. */
struct HttpField
{
  std::string name;
  std::string value;

  auto operator<=>(const HttpField&) const = default;
};

}
