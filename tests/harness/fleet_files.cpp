#include "tests/harness/fleet_files.h"

#include "machines/host_settings.h"
#include "zones/fleet.h"

#include <map>
#include <yaml-cpp/yaml.h>

namespace sardinecourse::harness {

namespace {

YAML::Node
HostNode(const EntryHost& aHost)
{
  YAML::Node node;
  node["callers"] = aHost.Callers().Text();
  node["peers"] = aHost.Peers().Text();
  return node;
}

YAML::Node
MinionNode(const Minion& aMinion)
{
  YAML::Node node;
  node["service"] = aMinion.Service().Text();
  node["address"] = aMinion.Address().Text();
  node["slots"] = aMinion.Slots();
  node["connections"] = aMinion.Connections();
  return node;
}

YAML::Node
WorkerNode(const Worker& aWorker)
{
  YAML::Node node;
  node["address"] = aWorker.Address().Text();
  node["accelerators"] = aWorker.Accelerators();
  node["cores"] = aWorker.Cores();
  node["memory_mb"] = aWorker.Memory();
  return node;
}

YAML::Node
TeamNode(const Team& aTeam)
{
  YAML::Node node;
  node["quota"] = aTeam.Quota();
  for (const Guarantee& guarantee : aTeam.Guarantees()) {
    YAML::Node item;
    item["members"] = guarantee.GangShape().Members();
    item["accelerators_per_member"] =
      guarantee.GangShape().AcceleratorsPerMember();
    item["count"] = guarantee.Count();
    node["guarantees"].push_back(item);
  }
  return node;
}

YAML::Node
DataCentreNode(const DataCentre& aDataCentre)
{
  YAML::Node node;
  node["region"] = aDataCentre.Region();
  for (const EntryHost& host : aDataCentre.EntryHosts()) {
    node["entry_hosts"][host.Name().Text()] = HostNode(host);
  }
  for (const Minion& minion : aDataCentre.Minions()) {
    node["minions"][minion.Name().Text()] = MinionNode(minion);
  }
  for (const Worker& worker : aDataCentre.Workers()) {
    node["racks"][worker.Rack().Text()]["workers"][worker.Name().Text()] =
      WorkerNode(worker);
  }
  for (const Team& team : aDataCentre.Teams()) {
    node["teams"][team.Name().Text()] = TeamNode(team);
  }
  return node;
}

}

std::string
FleetYaml(const Fleet& aFleet)
{
  YAML::Node node;
  node["name"] = aFleet.Name().Text();
  for (const DataCentre& dataCentre : aFleet.DataCentres()) {
    node["data_centres"][dataCentre.Name().Text()] = DataCentreNode(dataCentre);
  }
  return YAML::Dump(node) + "\n";
}

std::string
HostSettingsYaml(const HostSettings& aSettings)
{
  const EntryHost& host = aSettings.Host();
  YAML::Node node = HostNode(host);
  node["name"] = host.Name().Text();
  node["data_centre"] = host.DataCentre().Text();
  node["threads"] = aSettings.Threads();
  node["grace_s"] =
    std::chrono::duration<double>(aSettings.GraceTime()).count();
  node["log_level"] = aSettings.LogLevel();
  for (const Endpoint& endpoint : aSettings.Platform()) {
    node["platform"].push_back(endpoint.Text());
  }
  for (const Endpoint& endpoint : aSettings.Peers()) {
    node["peer_seeds"].push_back(endpoint.Text());
  }
  return YAML::Dump(node) + "\n";
}

}
