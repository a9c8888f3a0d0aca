#pragma once

#include "core/instant.h"
#include "daemon/host_settings_manager.h"
#include "links/http_answer.h"
#include "machines/entry_host.h"

namespace sardinecourse {

/** GET /status: state of this daemon, its platform link and its peers. */
class StatusResource
{
public:
  StatusResource(EntryHost aHost,
                 const HostSettingsManager& aManager,
                 const PlatformLink& aPlatform,
                 const DaemonPeers& aPeers);

  HttpAnswer Show() const;

private:
  EntryHost host;
  const HostSettingsManager* settings;
  const PlatformLink* platform;
  const DaemonPeers* peers;
  Instant startedAt = Clock::now();
};

}
