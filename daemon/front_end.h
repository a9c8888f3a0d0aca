#pragma once

#include "core/snapshot.h"
#include "links/http_answer.h"
#include "links/http_request.h"
#include "zones/minion_table.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <random>

namespace sardinecourse {

/** Serves callers in one thread: routes each request to a minion and returns
 * its whole answer. */
class FrontEnd
{
public:
  FrontEnd(boost::asio::io_context& aContext,
           const Snapshot<MinionTable>& aMinions);

  boost::asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest);

private:
  boost::asio::awaitable<HttpAnswer> Forward(const HttpRequest& aRequest);

  boost::asio::io_context* context;
  const Snapshot<MinionTable>* minions;
  std::mt19937_64 random;
};

}
