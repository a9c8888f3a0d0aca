#include "daemon/metrics_handler.h"

#include "codecs/caller_load_text.h"
#include "scheduling/domain_metrics.h"

namespace sardinecourse {

namespace {

constexpr int kNotFound = 404;

}

boost::asio::awaitable<HttpAnswer>
MetricsHandler::Handle(HttpRequest aRequest)
{
  HttpAnswer answer;
  if (aRequest.target != "/metrics") {
    answer.status = kNotFound;
    co_return answer;
  }
  answer.fields.Add("Content-Type", "text/plain; version=0.0.4");
  answer.body = this->metrics->Text() + CallerLoadText(*this->load);
  co_return answer;
}

}
