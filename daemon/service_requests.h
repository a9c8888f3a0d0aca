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

  /** Closes connections to minions that were not used for a while. */
  void CloseIdle() { this->forwarder.CloseIdle(); }
  void CloseAll() { this->forwarder.CloseAll(); }

private:
  boost::asio::awaitable<ForwardResult> HandleKeyed(Request aRequest,
                                                    HttpRequest aMessage);
  void SettleKey(const Request& aRequest, const ForwardResult& aResult);
  std::string NextIdentity();

  RequestContext* shared;
  RequestForwarder forwarder;
  std::string identityPrefix;
  std::uint64_t nextIdentity = 0;
};

}
