#pragma once

#include "daemon/service_requests.h"
#include "links/http_answer.h"
#include "links/http_request.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace sardinecourse {

class RoutingLogBuffer;
struct RequestContext;

/** Serves callers in one thread: dispatches each request by its target. */
class FrontEnd
{
public:
  FrontEnd(boost::asio::io_context& aContext,
           RequestContext& aShared,
           RoutingLogBuffer& aLog);

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

  ServiceRequests& Services() { return this->services; }

private:
  HttpAnswer Ready() const;
  HttpAnswer Metrics() const;

  RequestContext* shared;
  ServiceRequests services;
};

}
