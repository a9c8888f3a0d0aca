#include "core/reason.h"
#include "links/http_server.h"
#include "tests/stand_ins/site_service.h"

#include <iostream>
#include <popt.h>

int
main(int aCount, const char** aArguments)
{
  using namespace sardinecourse;
  const char* listen = nullptr;
  int workers = 1;
  const poptOption options[] = {
    { "listen",
      'l',
      POPT_ARG_STRING,
      &listen,
      0,
      "Endpoint of the site",
      "IP:PORT" },
    { "workers", 'w', POPT_ARG_INT, &workers, 0, "Number of workers", "COUNT" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("site_stand_in", aCount, aArguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  Reason reason;
  const auto endpoint =
    Endpoint::Parse(listen == nullptr ? "" : listen, reason);
  if (parsed < -1 || !endpoint) {
    std::cerr << "site_stand_in: --listen IP:PORT is required\n";
    return 1;
  }
  poptFreeContext(context);
  boost::asio::io_context loop(1);
  SiteService service(loop, endpoint->Text(), workers);
  HttpServer<SiteService> server(loop, service);
  if (!server.Listen(*endpoint, reason)) {
    std::cerr << reason.Message() << '\n';
    return 1;
  }
  loop.run();
  return 0;
}
