#pragma once

#include "core/instant.h"
#include "daemon/host_settings_keeper.h"
#include "links/http_answer.h"
#include "machines/entry_host.h"

namespace sardinecourse {

/** GET /status: what this daemon tells operators of itself. */
class StatusResource
{
public:
  StatusResource(EntryHost aHost,
                 const HostSettingsKeeper& aKeeper,
                 const PlatformLink& aPlatform,
                 const DaemonPeers& aPeers);

  HttpAnswer Show() const;

private:
  EntryHost host;
  const HostSettingsKeeper* keeper;
  const PlatformLink* platform;
  const DaemonPeers* peers;
  Instant started = Clock::now();
};

}
