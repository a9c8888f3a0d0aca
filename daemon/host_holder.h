#pragma once

#include "daemon/daemon_peers.h"
#include "daemon/holder.h"
#include "links/http_worker_link.h"
#include "links/platform_link.h"

namespace sardinecourse {

/** The holder with the daemon's links and peers. */
using HostHolder = Holder<PlatformLink, HttpWorkerLink, DaemonPeers>;

}
