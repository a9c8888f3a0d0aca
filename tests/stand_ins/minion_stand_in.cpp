#include "core/reason.h"
#include "links/http_server.h"

#include <iostream>

namespace sardinecourse {

namespace {

class Minion
{
public:
  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest)
  {
    HttpAnswer answer;
    answer.body = "served " + aRequest.target + " " + aRequest.body;
    co_return answer;
  }
};

}

}

int
main(int aCount, char** aArguments)
{
  using namespace sardinecourse;
  Reason reason;
  const auto endpoint =
    Endpoint::Parse(aCount > 1 ? aArguments[1] : "", reason);
  if (!endpoint) {
    std::cerr << reason.Message() << '\n';
    return 1;
  }
  boost::asio::io_context context(1);
  Minion minion;
  HttpServer<Minion> server(context, minion);
  if (!server.Listen(*endpoint, reason)) {
    std::cerr << reason.Message() << '\n';
    return 1;
  }
  context.run();
  return 0;
}
