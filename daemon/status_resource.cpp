#include "daemon/status_resource.h"

#include "codecs/status_json.h"
#include "contracts/host_status.h"
#include "daemon/json_answer.h"

#include <utility>

namespace sardinecourse {

StatusResource::StatusResource(EntryHost aHost,
                               const HostSettingsManager& aManager,
                               const PlatformLink& aPlatform,
                               const DaemonPeers& aPeers)
  : host(std::move(aHost))
  , settings(&aManager)
  , platform(&aPlatform)
  , peers(&aPeers)
{
}

HttpAnswer
StatusResource::Show() const
{
  HostStatus status;
  status.host = this->host.Name();
  status.dataCentre = this->host.DataCentre();
  status.version = SARDINECOURSE_VERSION;
  status.revision = this->settings->InForce().revision;
  status.platformReachable = this->platform->Reachable();
  status.platformReads = this->platform->Counters().reads;
  status.platformWrites = this->platform->Counters().writes;
  status.uptime = std::chrono::duration_cast<std::chrono::seconds>(
    Clock::now() - this->startedAt);
  const PeerView view = this->peers->View();
  for (const PeerStatus& peer : view.Peers()) {
    status.peers.push_back({ peer.host,
                             peer.dataCentre,
                             std::string(PeerStateName(peer.state)),
                             peer.revision });
  }
  return JsonAnswer(200, EncodeHostStatus(status));
}

}
