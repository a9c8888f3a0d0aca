#pragma once

#include "daemon/peer_exchange.h"

namespace sardinecourse {

class Daemon;

/** The exchange of Daemon with the other entry hosts. */
using DaemonPeers = PeerExchange<Daemon>;

}
