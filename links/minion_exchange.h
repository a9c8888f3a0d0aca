#pragma once

#include "core/reason.h"
#include "links/exchange_progress.h"
#include "links/http_answer.h"
#include "links/http_request.h"
#include "links/minion_connection.h"
#include "machines/slot_guard.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>

namespace sardinecourse {

/**
 * One request on its way to a minion and back. It outlives the caller's
 * deadline: the minion still works on the request then, so its slot stays taken
 * until the late answer arrives or nothing more is expected.
 */
struct MinionExchange
{
  MinionExchange(boost::asio::io_context& aContext,
                 std::unique_ptr<MinionConnection> aConnection,
                 HttpRequest aRequest,
                 SlotGuard aHold)
    : ended(aContext)
    , connection(std::move(aConnection))
    , request(std::move(aRequest))
    , hold(std::move(aHold))
  {
  }

  /** Cancelled when the exchange has ended. */
  boost::asio::steady_timer ended;
  std::unique_ptr<MinionConnection> connection;
  HttpRequest request;
  std::optional<SlotGuard> hold;
  std::optional<HttpAnswer> answer;
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  Reason reason;
  bool hasEnded = false;
};

}
