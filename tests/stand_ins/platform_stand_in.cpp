#include "links/http_server.h"
#include "tests/stand_ins/platform_service.h"

#include <iostream>
#include <popt.h>

int
main(int aCount, const char** aArguments)
{
  using namespace sardinecourse;
  const char* listen = nullptr;
  const poptOption options[] = { { "listen",
                                   'l',
                                   POPT_ARG_STRING,
                                   &listen,
                                   0,
                                   "Endpoint of the platform",
                                   "IP:PORT" },
                                 POPT_AUTOHELP POPT_TABLEEND };
  poptContext context =
    poptGetContext("platform_stand_in", aCount, aArguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  Reason reason;
  const auto endpoint =
    Endpoint::Parse(listen == nullptr ? "" : listen, reason);
  if (parsed < -1 || !endpoint) {
    std::cerr << "platform_stand_in: --listen IP:PORT is required\n";
    return 1;
  }
  poptFreeContext(context);
  boost::asio::io_context loop(1);
  PlatformService service(loop);
  HttpServer<PlatformService> server(loop, service);
  if (!server.Listen(*endpoint, reason)) {
    std::cerr << reason.Message() << '\n';
    return 1;
  }
  loop.run();
  return 0;
}
