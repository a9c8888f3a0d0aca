#include "codecs/fleet_yaml.h"

#include "codecs/yaml_document.h"
#include "codecs/yaml_reader.h"
#include "contracts/guarantee_builder.h"
#include "contracts/shape_builder.h"
#include "contracts/team_builder.h"
#include "machines/entry_host_builder.h"
#include "machines/minion_builder.h"
#include "machines/worker_builder.h"
#include "zones/data_centre_builder.h"
#include "zones/fleet_builder.h"

#include <yaml-cpp/yaml.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kMostAcceleratorsPerWorker = 64;
constexpr std::int64_t kMostCores = 4096;
constexpr std::int64_t kMostMemoryMb = 64LL << 20;
constexpr std::int64_t kMostSlots = 4096;
constexpr std::int64_t kMostMembers = 64;
constexpr std::int64_t kMostQuota = 1'000'000;
constexpr std::int64_t kDefaultSlots = 8;
constexpr std::int64_t kDefaultConnections = 64;

std::int32_t
ReadInteger(YamlReader& aReader,
            const std::string& aKey,
            std::int64_t aLeast,
            std::int64_t aMost)
{
  return static_cast<std::int32_t>(aReader.Integer(aKey, aLeast, aMost));
}

/** Keeps what the builder made, or records its reason as the reader's error. */
template<typename Value, typename Builder>
void
Keep(const Builder& aBuilder, YamlReader& aReader, std::vector<Value>& aValues)
{
  Reason reason;
  const std::optional<Value> value = aBuilder.Build(reason);
  if (!value) {
    aReader.Fail("", reason.Text());
    return;
  }
  aValues.push_back(*value);
}

std::vector<EntryHost>
ReadEntryHosts(YamlReader& aReader, const DataCentreName& aDataCentre)
{
  std::vector<EntryHost> hosts;
  aReader.Each("entry_hosts", [&](const std::string& aName, YamlReader& aHost) {
    EntryHostBuilder builder;
    builder.Name(HostName(aName)).DataCentre(aDataCentre);
    builder.Callers(aHost.Address("callers")).Peers(aHost.Address("peers"));
    Keep(builder, aHost, hosts);
  });
  return hosts;
}

std::vector<Worker>
ReadWorkers(YamlReader& aReader, const DataCentreName& aDataCentre)
{
  std::vector<Worker> workers;
  aReader.Each("racks", [&](const std::string& aRack, YamlReader& aRackReader) {
    aRackReader.Each(
      "workers", [&](const std::string& aName, YamlReader& aWorker) {
        WorkerBuilder builder;
        builder.Name(WorkerName(aName))
          .Rack(RackName(aRack))
          .DataCentre(aDataCentre);
        builder.Address(aWorker.Address("address"));
        builder.Accelerators(
          ReadInteger(aWorker, "accelerators", 0, kMostAcceleratorsPerWorker));
        builder.Cores(ReadInteger(aWorker, "cores", 1, kMostCores));
        builder.Memory(ReadInteger(aWorker, "memory_mb", 1, kMostMemoryMb));
        Keep(builder, aWorker, workers);
      });
  });
  return workers;
}

std::vector<Minion>
ReadMinions(YamlReader& aReader, const DataCentreName& aDataCentre)
{
  std::vector<Minion> minions;
  aReader.Each("minions", [&](const std::string& aName, YamlReader& aMinion) {
    MinionBuilder builder;
    builder.Name(MinionName(aName)).DataCentre(aDataCentre);
    builder.Service(ServiceName(aMinion.Text("service")));
    builder.Address(aMinion.Address("address"));
    builder.Slots(static_cast<std::int32_t>(
      aMinion.Integer("slots", kDefaultSlots, 1, kMostSlots)));
    builder.Connections(static_cast<std::int32_t>(
      aMinion.Integer("connections", kDefaultConnections, 1, kMostSlots)));
    Keep(builder, aMinion, minions);
  });
  return minions;
}

std::vector<Guarantee>
ReadGuarantees(YamlReader& aReader,
               const TeamName& aTeam,
               const DataCentreName& aDataCentre)
{
  std::vector<Guarantee> guarantees;
  aReader.EachItem("guarantees", [&](YamlReader& aItem) {
    ShapeBuilder shapeBuilder;
    shapeBuilder.Members(ReadInteger(aItem, "members", 1, kMostMembers));
    shapeBuilder.AcceleratorsPerMember(ReadInteger(
      aItem, "accelerators_per_member", 1, kMostAcceleratorsPerWorker));
    Reason reason;
    const std::optional<Shape> shape = shapeBuilder.Build(reason);
    if (!shape) {
      aItem.Fail("", reason.Text());
      return;
    }
    GuaranteeBuilder builder;
    builder.Team(aTeam).DataCentre(aDataCentre).GangShape(*shape);
    builder.Count(
      static_cast<std::int32_t>(aItem.Integer("count", 1, 1, kMostQuota)));
    Keep(builder, aItem, guarantees);
  });
  return guarantees;
}

std::vector<Team>
ReadTeams(YamlReader& aReader, const DataCentreName& aDataCentre)
{
  std::vector<Team> teams;
  aReader.Each("teams", [&](const std::string& aName, YamlReader& aTeam) {
    const TeamName name(aName);
    TeamBuilder builder;
    builder.Name(name).Quota(ReadInteger(aTeam, "quota", 0, kMostQuota));
    builder.Guarantees(ReadGuarantees(aTeam, name, aDataCentre));
    Keep(builder, aTeam, teams);
  });
  return teams;
}

void
ReadDataCentre(const std::string& aName,
               YamlReader& aReader,
               std::vector<DataCentre>& aTo)
{
  const DataCentreName name(aName);
  DataCentreBuilder builder;
  builder.Name(name).Region(aReader.Text("region", ""));
  builder.EntryHosts(ReadEntryHosts(aReader, name));
  builder.Workers(ReadWorkers(aReader, name));
  builder.Minions(ReadMinions(aReader, name));
  builder.Teams(ReadTeams(aReader, name));
  Keep(builder, aReader, aTo);
}

}

std::optional<Fleet>
DecodeFleet(const std::string& aText,
            const std::string& aFile,
            std::int64_t aRevision,
            Reason& aReason)
{
  const std::optional<YAML::Node> node = ParseYaml(aText, aFile, aReason);
  if (!node) {
    return std::nullopt;
  }
  YamlReader reader(*node, aFile, "fleet");
  std::vector<DataCentre> dataCentres;
  FleetBuilder builder;
  builder.Name(FleetName(reader.Text("name"))).Revision(aRevision);
  reader.Each("data_centres",
              [&dataCentres](const std::string& aName, YamlReader& aReader) {
                ReadDataCentre(aName, aReader, dataCentres);
              });
  if (!reader.Finish(aReason)) {
    return std::nullopt;
  }
  return builder.DataCentres(dataCentres).Build(aReason);
}

}
