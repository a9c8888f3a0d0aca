#pragma once

#include "core/instant.h"
#include "links/http_connection.h"
#include "machines/minion_state.h"

#include <memory>

namespace sardinecourse {

/** A connection to a minion; counts towards this host's share of the minion's
 * connections until it is destroyed. */
struct MinionConnection
{
  MinionConnection(boost::asio::io_context& aContext,
                   std::shared_ptr<MinionState> aMinionState)
    : minionState(std::move(aMinionState))
    , http(aContext, this->minionState->Upstream().Address())
  {
  }
  ~MinionConnection() { this->minionState->ConnectionClosed(); }
  MinionConnection(const MinionConnection&) = delete;
  MinionConnection& operator=(const MinionConnection&) = delete;

  std::shared_ptr<MinionState> minionState;
  HttpConnection http;
  /** When it was opened, or when the last complete answer arrived on it. */
  Instant lastVerified;
  /** True once an answer on it contained the identity of its request; all later
   * answers must then contain it as well. */
  bool echoesIdentity = false;
};

}
