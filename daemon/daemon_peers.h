#pragma once

#include "daemon/peer_exchange.h"

namespace sardinecourse {

class Daemon;

/** The exchange with other entry hosts as the daemon runs it. */
using DaemonPeers = PeerExchange<Daemon>;

}
