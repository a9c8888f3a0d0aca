#pragma once

#include "core/instant.h"
#include "links/http_connection.h"
#include "machines/minion_state.h"

#include <memory>

namespace sardinecourse {

/** A connection to a minion; counts towards this host's share of the minion's
 * connections for as long as it lives. */
struct MinionConnection
{
  MinionConnection(boost::asio::io_context& aContext,
                   std::shared_ptr<MinionState> aSlot)
    : slot(std::move(aSlot))
    , http(aContext, this->slot->Upstream().Address())
  {
  }
  ~MinionConnection() { this->slot->ConnectionClosed(); }
  MinionConnection(const MinionConnection&) = delete;
  MinionConnection& operator=(const MinionConnection&) = delete;

  std::shared_ptr<MinionState> slot;
  HttpConnection http;
  /** When the last whole answer arrived on it. */
  Instant proven;
  /** True once an answer on it named its request; all later ones must, too. */
  bool namesRequests = false;
};

}
