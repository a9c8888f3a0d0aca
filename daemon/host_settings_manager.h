#pragma once

#include "daemon/daemon_peers.h"
#include "daemon/fleet_adopter.h"
#include "daemon/settings_manager.h"
#include "links/platform_link.h"

namespace sardinecourse {

/** The settings manager with the daemon's link, peers and adopter. */
using HostSettingsManager =
  SettingsManager<PlatformLink, DaemonPeers, FleetAdopter>;

}
