#pragma once

#include "links/http_answer.h"
#include "links/http_request.h"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace sardinecourse {

/** Convert between Boost.Beast messages and HttpRequest or HttpAnswer;
 * FromMessage() removes hop-by-hop fields. */
HttpRequest
FromMessage(
  boost::beast::http::request<boost::beast::http::string_body>&& aMessage);
HttpAnswer
FromMessage(
  boost::beast::http::response<boost::beast::http::string_body>&& aMessage);
boost::beast::http::request<boost::beast::http::string_body>
ToMessage(const HttpRequest& aRequest);
boost::beast::http::response<boost::beast::http::string_body>
ToMessage(HttpAnswer&& aAnswer);

}
