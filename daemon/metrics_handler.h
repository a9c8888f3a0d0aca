#pragma once

#include "links/http_answer.h"
#include "links/http_request.h"

#include <boost/asio/awaitable.hpp>

namespace sardinecourse {

class CallerLoad;
class DomainMetrics;

/** Serves the metrics of a scheduling domain's host under "/metrics", in
 * Prometheus' text format; other targets get a 404. */
class MetricsHandler
{
public:
  MetricsHandler(const DomainMetrics& aMetrics, const CallerLoad& aLoad)
    : metrics(&aMetrics)
    , load(&aLoad)
  {
  }

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

private:
  const DomainMetrics* metrics;
  const CallerLoad* load;
};

}
