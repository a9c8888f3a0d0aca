#pragma once

#include "core/instant.h"
#include "daemon/host_settings_manager.h"
#include "links/http_answer.h"
#include "machines/entry_host.h"

namespace sardinecourse {

/** GET /status: what this daemon tells operators of itself. */
class StatusResource
{
public:
  StatusResource(EntryHost aHost,
                 const HostSettingsManager& aKeeper,
                 const PlatformLink& aPlatform,
                 const DaemonPeers& aPeers);

  HttpAnswer Show() const;

private:
  EntryHost host;
  const HostSettingsManager* keeper;
  const PlatformLink* platform;
  const DaemonPeers* peers;
  Instant started = Clock::now();
};

}
