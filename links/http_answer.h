#pragma once

#include "links/http_fields.h"

#include <compare>
#include <string>

namespace sardinecourse {

/** An HTTP response with its complete body. */
struct HttpAnswer
{
  int status = 200;
  HttpFields fields;
  std::string body;

  auto operator<=>(const HttpAnswer&) const = default;
};

}
