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
 * One request to a minion and its answer. It may outlive the caller's deadline:
 * the minion may still be working on the request then, so the slot stays
 * acquired until the late answer arrives or the exchange times out.
 */
struct MinionExchange
{
  MinionExchange(boost::asio::io_context& aContext,
                 std::unique_ptr<MinionConnection> aConnection,
                 HttpRequest aRequest,
                 SlotGuard aSlot)
    : endTimer(aContext)
    , connection(std::move(aConnection))
    , request(std::move(aRequest))
    , slot(std::move(aSlot))
  {
  }

  /** Expires at the caller's deadline; cancelled when the exchange ends. */
  boost::asio::steady_timer endTimer;
  std::unique_ptr<MinionConnection> connection;
  HttpRequest request;
  std::optional<SlotGuard> slot;
  std::optional<HttpAnswer> answer;
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  Reason reason;
  bool hasEnded = false;
};

}
