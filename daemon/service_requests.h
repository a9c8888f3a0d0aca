#pragma once

#include "daemon/request_forwarder.h"
#include "links/http_answer.h"
#include "links/http_request.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

namespace sardinecourse {

class RoutingLogBuffer;
struct ClaimAnswer;
struct RequestContext;

/** Serves callers' requests for "/services/NAME/..." in one thread. */
class ServiceRequests
{
public:
  ServiceRequests(boost::asio::io_context& aContext,
                  RequestContext& aShared,
                  RoutingLogBuffer& aLog);

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aMessage);

  /** Closes connections to minions that have been idle for some time. */
  void CloseIdle() { this->forwarder.CloseIdle(); }
  void CloseAll() { this->forwarder.CloseAll(); }

private:
  /** Claims the request's key and forwards the request, or answers from the
   * existing claim. */
  boost::asio::awaitable<ForwardResult> HandleKeyed(Request aRequest,
                                                    HttpRequest aMessage);
  /** Stores the outcome in the claim, or releases it if the request did not
   * run. */
  void FinalizeClaim(const Request& aRequest, const ForwardResult& aResult);
  std::string NextIdentity();

  RequestContext* shared;
  RequestForwarder forwarder;
  std::string identityPrefix;
  std::uint64_t nextIdentity = 0;
};

}
