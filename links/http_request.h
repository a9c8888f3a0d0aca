#pragma once

#include "links/http_fields.h"

#include <compare>
#include <string>

namespace sardinecourse {

/** An HTTP request with its complete body. */
struct HttpRequest
{
  std::string method;
  /** Path and query, as received. */
  std::string target;
  HttpFields fields;
  std::string body;

  auto operator<=>(const HttpRequest&) const = default;
};

}
