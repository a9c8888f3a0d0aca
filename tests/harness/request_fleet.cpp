#include "tests/harness/request_fleet.h"

#include "core/reason.h"
#include "machines/entry_host_builder.h"
#include "machines/host_settings_builder.h"
#include "machines/minion_builder.h"
#include "tests/harness/fleet_files.h"
#include "tests/harness/http_client.h"
#include "tests/harness/loopback.h"
#include "tests/harness/settings_client.h"
#include "zones/data_centre_builder.h"
#include "zones/fleet_builder.h"

#include <iostream>
#include <nlohmann/json.hpp>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kTimeout{ 10'000 };

const DataCentreName kDataCentre("east");

bool
PostOk(const Endpoint& aTo,
       const std::string& aTarget,
       const std::string& aBody)
{
  HttpClient client(aTo);
  const auto answer = client.Post(aTarget, aBody, kTimeout);
  return answer && answer->status < 300;
}

EntryHost
MakeHost(std::size_t aNumber)
{
  Reason reason;
  EntryHostBuilder builder;
  builder.Name(HostName("east" + std::to_string(aNumber)));
  builder.DataCentre(kDataCentre);
  builder.Callers(FreeEndpoint()).Peers(FreeEndpoint());
  return builder.Build(reason).value();
}

Minion
MakeMinion(const std::string& aName, const Endpoint& aAddress)
{
  Reason reason;
  MinionBuilder builder;
  builder.Name(MinionName(aName)).DataCentre(kDataCentre);
  builder.Service(ServiceName("fretdesk")).Address(aAddress);
  return builder.Build(reason).value();
}

}

RequestFleet::RequestFleet(std::size_t aHosts,
                           std::size_t aMinions,
                           int aServiceUs,
                           Milliseconds aGraceTime,
                           const std::string& aHostSettings)
  : platformAddress(FreeEndpoint())
  , control(FreeEndpoint())
{
  this->platform = std::make_unique<Process>(
    "tests/platform_stand_in",
    std::vector<std::string>{ "--listen", this->platformAddress.Text() },
    this->folder.File("platform"));
  this->StartMinions(aMinions, aServiceUs);
  this->StartHosts(aHosts, aGraceTime, aHostSettings);
}

const Endpoint&
RequestFleet::Callers(std::size_t aHost) const
{
  return this->hosts.at(aHost).callers;
}

void
RequestFleet::StartMinions(std::size_t aMinions, int aServiceUs)
{
  const Endpoint first = FreeEndpoint();
  // The stand-in listens on consecutive ports from the first one, so the
  // following ones are reserved here.
  for (std::size_t reserved = 1; reserved < aMinions; ++reserved) {
    FreeEndpoint();
  }
  this->minions.push_back(std::make_unique<Process>(
    "tests/minion_stand_in",
    std::vector<std::string>{ first.Text(),
                              "--count",
                              std::to_string(aMinions),
                              "--control",
                              this->control.Text(),
                              "--service-us",
                              std::to_string(aServiceUs) },
    this->folder.File("minions")));
  for (std::size_t index = 0; index < aMinions; ++index) {
    Reason reason;
    const auto address = Endpoint::Parse(
      first.Ip() + ":" + std::to_string(first.Port() + index), reason);
    this->relays.push_back(
      std::make_unique<Relay>(FreeEndpoint(), address.value()));
  }
}

void
RequestFleet::StartHosts(std::size_t aHosts,
                         Milliseconds aGraceTime,
                         const std::string& aHostSettings)
{
  Reason reason;
  std::vector<EntryHost> entryHosts;
  for (std::size_t index = 0; index < aHosts; ++index) {
    entryHosts.push_back(MakeHost(index + 1));
  }
  std::vector<Minion> upstreams;
  for (std::size_t index = 0; index < this->relays.size(); ++index) {
    upstreams.push_back(MakeMinion("m" + std::to_string(index + 1),
                                   this->relays[index]->Address()));
  }
  DataCentreBuilder dataCentre;
  dataCentre.Name(kDataCentre).EntryHosts(entryHosts).Minions(upstreams);
  FleetBuilder fleet;
  fleet.Name(FleetName("test"));
  fleet.DataCentres({ dataCentre.Build(reason).value() });
  const std::string settingsText = FleetYaml(fleet.Build(reason).value());
  for (const EntryHost& host : entryHosts) {
    HostSettingsBuilder settings;
    settings.Host(host).Platform({ this->platformAddress });
    settings.GraceTime(aGraceTime);
    const std::string path = this->folder.Write(
      host.Name().Text() + ".yaml",
      HostSettingsYaml(settings.Build(reason).value()) + aHostSettings);
    this->hosts.push_back({ host.Callers(), path });
    this->daemons.push_back(nullptr);
    this->Restart(this->hosts.size() - 1);
  }
  if (!PutFirstSettingsInForce(this->Callers(0), settingsText, kTimeout)) {
    std::cerr << "the fleet's settings were not accepted\n";
  }
  for (std::size_t index = 0; index < aHosts; ++index) {
    this->WaitUntilReady(index);
  }
}

void
RequestFleet::Restart(std::size_t aHost)
{
  this->daemons.at(aHost) = std::make_unique<Process>(
    "sardinecoursed",
    std::vector<std::string>{ "--settings",
                              this->hosts.at(aHost).settingsPath },
    this->folder.File("daemon" + std::to_string(aHost + 1)));
}

bool
RequestFleet::WaitUntilReady(std::size_t aHost)
{
  return WaitForHttp(this->Callers(aHost), "/readyz", 200, kTimeout);
}

bool
RequestFleet::SetMinionFaults(const std::string& aName,
                              const std::string& aJson)
{
  return PostOk(this->control, "/minions/" + aName + "/faults", aJson);
}

bool
RequestFleet::SetPlatformFaults(const std::string& aJson)
{
  return PostOk(this->platformAddress, "/faults", aJson);
}

bool
RequestFleet::ListHost(const std::string& aName, const std::string& aState)
{
  return PostOk(this->platformAddress,
                "/hosts",
                R"({"name": ")" + aName + R"(", "state": ")" + aState +
                  R"("})");
}

std::vector<Execution>
RequestFleet::Executions()
{
  HttpClient client(this->control);
  const auto answer = client.Get("/record", kTimeout);
  std::vector<Execution> executions;
  if (!answer) {
    return executions;
  }
  for (const auto& row : nlohmann::json::parse(answer->body)) {
    executions.push_back({ row.at("minion").get<std::string>(),
                           row.at("body").get<std::string>(),
                           row.at("start_us").get<std::int64_t>(),
                           row.at("end_us").get<std::int64_t>() });
  }
  return executions;
}

}
