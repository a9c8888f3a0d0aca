#include "tests/harness/deployment.h"

#include "contracts/settings_answer.h"
#include "contracts/settings_proposal.h"
#include "machines/entry_host_builder.h"
#include "machines/host_settings_builder.h"
#include "machines/minion_builder.h"
#include "tests/harness/fleet_files.h"
#include "tests/harness/http_client.h"
#include "tests/harness/loopback.h"
#include "tests/harness/settings_client.h"
#include "tests/harness/wait.h"
#include "zones/data_centre_builder.h"
#include "zones/fleet_builder.h"

#include <algorithm>
#include <iostream>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kStartTimeout{ 15000 };
constexpr Milliseconds kCallTimeout{ 2000 };

std::string
DataCentreOf(const std::string& aHost)
{
  return aHost.front() == 'a' ? "west" : "east";
}

EntryHost
MakeHost(const std::string& aName,
         const Endpoint& aCallers,
         const Endpoint& aPeers)
{
  Reason reason;
  EntryHostBuilder builder;
  builder.Name(HostName(aName));
  builder.DataCentre(DataCentreName(DataCentreOf(aName)));
  return builder.Callers(aCallers).Peers(aPeers).Build(reason).value();
}

bool
PostFaults(const Endpoint& aServer,
           const std::string& aTarget,
           const std::string& aJson)
{
  const auto answer = HttpClient(aServer).Post(aTarget, aJson, kCallTimeout);
  return answer && answer->status < 300;
}

}

Deployment::Deployment()
  : platformAddress(FreeEndpoint())
  , platform(std::make_unique<Process>(
      "tests/platform_stand_in",
      std::vector<std::string>{ "--listen", this->platformAddress.Text() },
      this->folder.File("platform")))
{
  for (const std::string dataCentre : { "west", "east" }) {
    this->platformRelays[dataCentre] =
      std::make_unique<Relay>(FreeEndpoint(), this->platformAddress);
    this->StartMinion("m-" + dataCentre);
  }
  for (const std::string& name : Hosts()) {
    this->hosts[name] = MakeHost(name, FreeEndpoint(), FreeEndpoint());
  }
  this->interDataCentreRelay =
    std::make_unique<Relay>(FreeEndpoint(), this->hosts["b1"].Peers());
  for (const std::string& name : Hosts()) {
    this->Start(name);
  }
  for (const std::string& name : Hosts()) {
    if (!WaitForHttp(this->Callers(name), "/status", 200, kStartTimeout)) {
      std::cerr << name << " did not answer GET /status in time\n";
    }
  }
}

const Endpoint&
Deployment::Callers(const std::string& aHost) const
{
  return this->hosts.at(aHost).Callers();
}

void
Deployment::StartMinion(const std::string& aName)
{
  const Minion minion{ FreeEndpoint(), FreeEndpoint() };
  this->minions[aName] = minion;
  // The stand-in names its minions by the prefix and a number. Each process has
  // one minion, which is therefore called aName followed by 1.
  this->minionProcesses.push_back(
    std::make_unique<Process>("tests/minion_stand_in",
                              std::vector<std::string>{ "--prefix",
                                                        aName,
                                                        "--control",
                                                        minion.control.Text(),
                                                        "--service-us",
                                                        "2000",
                                                        minion.address.Text() },
                              this->folder.File(aName)));
}

void
Deployment::Start(const std::string& aHost)
{
  const EntryHost& host = this->hosts.at(aHost);
  std::vector<Endpoint> seeds;
  for (const std::string& other : Hosts()) {
    if (other != aHost && DataCentreOf(other) == DataCentreOf(aHost)) {
      seeds.push_back(this->hosts.at(other).Peers());
    }
  }
  if (DataCentreOf(aHost) == "west") {
    seeds.push_back(this->interDataCentreRelay->Address());
  }
  Reason reason;
  HostSettingsBuilder builder;
  builder.Host(host).Peers(seeds);
  builder.Platform({ this->platformRelays.at(DataCentreOf(aHost))->Address() });
  const std::string path = this->folder.Write(
    aHost + ".yaml", HostSettingsYaml(builder.Build(reason).value()));
  this->daemons.erase(aHost);
  this->daemons[aHost] =
    std::make_unique<Process>("sardinecoursed",
                              std::vector<std::string>{ "--settings", path },
                              this->folder.File(aHost + ".log"));
}

void
Deployment::SetWestRelays(RelayMode aMode)
{
  this->interDataCentreRelay->Set(aMode);
  this->PlatformRelay("west").Set(aMode);
}

std::string
Deployment::Fleet(int aMark) const
{
  Reason reason;
  std::vector<DataCentre> dataCentres;
  for (const std::string name : { "west", "east" }) {
    DataCentreBuilder dataCentre;
    dataCentre.Name(DataCentreName(name));
    std::vector<EntryHost> entryHosts;
    for (const auto& [host, actualHost] : this->hosts) {
      if (DataCentreOf(host) == name) {
        const bool isEast = name == "east";
        entryHosts.push_back(MakeHost(
          host,
          actualHost.Callers(),
          isEast ? this->interDataCentreRelay->Address() : actualHost.Peers()));
      }
    }
    MinionBuilder minion;
    minion.Name(MinionName("m-" + name + "1"));
    minion.DataCentre(DataCentreName(name)).Service(ServiceName("fretdesk"));
    minion.Address(this->minions.at("m-" + name).address);
    // No test depends on the number of connections, so it is used to make
    // revisions differ.
    constexpr int kConnections = 64;
    minion.Slots(8).Connections(kConnections + aMark);
    dataCentre.EntryHosts(entryHosts);
    dataCentre.Minions({ minion.Build(reason).value() });
    dataCentres.push_back(dataCentre.Build(reason).value());
  }
  FleetBuilder fleet;
  fleet.Name(FleetName("test")).DataCentres(dataCentres);
  return FleetYaml(fleet.Build(reason).value());
}

std::optional<std::int64_t>
Deployment::Apply(const std::string& aHost, int aMark)
{
  const std::string yaml = this->Fleet(aMark);
  std::optional<std::int64_t> revision;
  WaitUntil(kStartTimeout, [&] {
    const auto current = RevisionInForce(this->Callers(aHost), kCallTimeout);
    if (!current) {
      return false;
    }
    SettingsProposal proposal;
    proposal.expectedRevision = *current > 0 ? current : std::nullopt;
    proposal.who = "test";
    proposal.file = "fleet.yaml";
    proposal.yaml = yaml;
    const auto answer =
      ProposeSettings(this->Callers(aHost), proposal, kStartTimeout);
    if (answer && answer->outcome == AcceptOutcome::kAccepted) {
      revision = answer->record->Revision();
    }
    return revision.has_value();
  });
  return revision;
}

bool
Deployment::WaitForRevision(const std::vector<std::string>& aHosts,
                            std::int64_t aRevision,
                            Milliseconds aTimeout) const
{
  return WaitUntil(aTimeout, [&] {
    return std::all_of(
      aHosts.begin(), aHosts.end(), [&](const std::string& aHost) {
        return RevisionInForce(this->Callers(aHost), kCallTimeout) == aRevision;
      });
  });
}

bool
Deployment::SetMinionFaults(const std::string& aMinion,
                            const std::string& aJson)
{
  return PostFaults(
    this->minions.at(aMinion).control, "/minions/all/faults", aJson);
}

bool
Deployment::SetPlatformFaults(const std::string& aJson)
{
  return PostFaults(this->platformAddress, "/faults", aJson);
}

}
