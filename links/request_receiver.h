#pragma once

#include "links/http_request.h"
#include "links/http_session.h"

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <optional>

namespace sardinecourse {

class HttpSessions;

/** Reads callers' requests within the limits on what a caller may send and make
 * the host hold. */
class RequestReceiver
{
public:
  explicit RequestReceiver(HttpSessions& aSessions)
    : sessions(&aSessions)
  {
  }

  /** What came of reading a request. */
  struct Result
  {
    /** The request, once it has arrived whole and has room to be handled. */
    std::optional<HttpRequest> request;
    bool isKeptOpen = false;
    /** Why there is none; empty if the connection has ended. */
    std::optional<CallerRefusal> refusal;
  };

  boost::asio::awaitable<Result> Receive(HttpSession& aSession);

private:
  using Parser = HttpSession::Parser;

  /** Reads until the request is complete, has failed, or is to be refused for a
   * cause. */
  boost::asio::awaitable<std::optional<CallerRefusal>> Read(
    HttpSession& aSession,
    Parser& aParser,
    boost::system::error_code& aError);
  /** Parses what the buffer has of the request, and checks it against the
   * limits. */
  std::optional<CallerRefusal> Parse(HttpSession& aSession,
                                     Parser& aParser) const;
  /** Takes the request from the parser if there is room to handle it. */
  std::optional<HttpRequest> Admit(HttpSession& aSession,
                                   Parser& aParser) const;

  HttpSessions* sessions;
};

}
