#include "codecs/fleet_yaml.h"

#include "codecs/policy_yaml.h"
#include "codecs/unique_names.h"
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
#include "zones/settings_tree_builder.h"

#include <yaml-cpp/yaml.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kMaxAcceleratorsPerWorker = 64;
constexpr std::int64_t kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryMb = 64LL << 20;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxMembers = 64;
constexpr std::int64_t kMaxQuota = 1'000'000;
constexpr std::int64_t kDefaultSlots = 8;
constexpr std::int64_t kDefaultConnections = 64;

std::int32_t
ReadInteger(YamlReader& aReader,
            const std::string& aKey,
            std::int64_t aMin,
            std::int64_t aMax)
{
  return static_cast<std::int32_t>(aReader.Integer(aKey, aMin, aMax));
}

/** Builds a value and appends it, or records the builder's reason as an error
 * of the reader. */
template<typename Value, typename Builder>
void
AppendBuilt(const Builder& aBuilder,
            YamlReader& aReader,
            std::vector<Value>& aValues)
{
  Reason reason;
  const std::optional<Value> value = aBuilder.Build(reason);
  if (!value) {
    aReader.Fail("", reason.Text());
    return;
  }
  aValues.push_back(*value);
}

/** Reads one fleet and checks that addresses, entry hosts, workers and minions
 * are unique in the whole fleet. */
class FleetReader
{
public:
  std::vector<DataCentre> ReadDataCentres(YamlReader& aFleet);
  std::optional<SettingsTree> Settings(Reason& aReason) const
  {
    return this->settings.Build(aReason);
  }

private:
  void ReadDataCentre(const DataCentreName& aName, YamlReader& aReader);
  std::vector<EntryHost> ReadEntryHosts(YamlReader& aReader);
  std::vector<Worker> ReadRacks(YamlReader& aReader);
  void ReadWorker(const RackName& aRack,
                  const std::string& aName,
                  YamlReader& aReader,
                  std::vector<Worker>& aWorkers);
  std::vector<Minion> ReadMinions(YamlReader& aReader);
  std::vector<Team> ReadTeams(YamlReader& aReader);
  std::vector<Guarantee> ReadGuarantees(YamlReader& aReader,
                                        const TeamName& aTeam);
  void ReadServices(YamlReader& aReader, const TeamName& aTeam);
  void ReadSettings(YamlReader& aReader, const SettingsScope& aScope);
  Endpoint ReadAddress(YamlReader& aReader, const std::string& aKey);

  /** Data centre being read. */
  DataCentreName dataCentre;
  std::vector<DataCentre> dataCentres;
  SettingsTreeBuilder settings;
  UniqueNames addresses{ "address" };
  UniqueNames hosts{ "entry host" };
  UniqueNames workers{ "worker" };
  UniqueNames minions{ "minion" };
  /** Services of the data centre being read, where each belongs to one team. */
  UniqueNames services{ "service" };
};

std::vector<DataCentre>
FleetReader::ReadDataCentres(YamlReader& aFleet)
{
  this->ReadSettings(aFleet, {});
  aFleet.ForEachEntry("data_centres",
                      [this](const std::string& aName, YamlReader& aReader) {
                        this->ReadDataCentre(DataCentreName(aName), aReader);
                      });
  return this->dataCentres;
}

void
FleetReader::ReadDataCentre(const DataCentreName& aName, YamlReader& aReader)
{
  this->dataCentre = aName;
  this->services = UniqueNames("service");
  this->ReadSettings(aReader, { aName, {}, {} });
  DataCentreBuilder builder;
  builder.Name(aName).Region(aReader.Text("region", ""));
  builder.EntryHosts(this->ReadEntryHosts(aReader));
  builder.Workers(this->ReadRacks(aReader));
  builder.Minions(this->ReadMinions(aReader));
  builder.Teams(this->ReadTeams(aReader));
  AppendBuilt(builder, aReader, this->dataCentres);
}

std::vector<EntryHost>
FleetReader::ReadEntryHosts(YamlReader& aReader)
{
  std::vector<EntryHost> entryHosts;
  aReader.ForEachEntry(
    "entry_hosts", [&](const std::string& aName, YamlReader& aHost) {
      this->hosts.Add(aName, "", aHost);
      EntryHostBuilder builder;
      builder.Name(HostName(aName)).DataCentre(this->dataCentre);
      builder.Callers(this->ReadAddress(aHost, "callers"));
      builder.Peers(this->ReadAddress(aHost, "peers"));
      AppendBuilt(builder, aHost, entryHosts);
    });
  return entryHosts;
}

std::vector<Worker>
FleetReader::ReadRacks(YamlReader& aReader)
{
  std::vector<Worker> rackWorkers;
  aReader.ForEachEntry(
    "racks", [&](const std::string& aRack, YamlReader& aRackReader) {
      aRackReader.ForEachEntry(
        "workers", [&](const std::string& aName, YamlReader& aWorker) {
          this->ReadWorker(RackName(aRack), aName, aWorker, rackWorkers);
        });
    });
  return rackWorkers;
}

void
FleetReader::ReadWorker(const RackName& aRack,
                        const std::string& aName,
                        YamlReader& aReader,
                        std::vector<Worker>& aWorkers)
{
  this->workers.Add(aName, "", aReader);
  WorkerBuilder builder;
  builder.Name(WorkerName(aName)).Rack(aRack).DataCentre(this->dataCentre);
  builder.Address(this->ReadAddress(aReader, "address"));
  builder.Accelerators(
    ReadInteger(aReader, "accelerators", 0, kMaxAcceleratorsPerWorker));
  builder.Cores(ReadInteger(aReader, "cores", 1, kMaxCores));
  builder.Memory(ReadInteger(aReader, "memory_mb", 1, kMaxMemoryMb));
  AppendBuilt(builder, aReader, aWorkers);
}

std::vector<Minion>
FleetReader::ReadMinions(YamlReader& aReader)
{
  std::vector<Minion> minionList;
  aReader.ForEachEntry(
    "minions", [&](const std::string& aName, YamlReader& aMinion) {
      this->minions.Add(aName, "", aMinion);
      MinionBuilder builder;
      builder.Name(MinionName(aName)).DataCentre(this->dataCentre);
      builder.Service(ServiceName(aMinion.Text("service")));
      builder.Address(this->ReadAddress(aMinion, "address"));
      builder.Slots(static_cast<std::int32_t>(
        aMinion.Integer("slots", kDefaultSlots, 1, kMaxSlots)));
      builder.Connections(static_cast<std::int32_t>(
        aMinion.Integer("connections", kDefaultConnections, 1, kMaxSlots)));
      AppendBuilt(builder, aMinion, minionList);
    });
  return minionList;
}

std::vector<Team>
FleetReader::ReadTeams(YamlReader& aReader)
{
  std::vector<Team> teams;
  aReader.ForEachEntry(
    "teams", [&](const std::string& aName, YamlReader& aTeam) {
      const TeamName name(aName);
      this->ReadSettings(aTeam, { this->dataCentre, name, {} });
      this->ReadServices(aTeam, name);
      TeamBuilder builder;
      builder.Name(name).Quota(ReadInteger(aTeam, "quota", 0, kMaxQuota));
      builder.Guarantees(this->ReadGuarantees(aTeam, name));
      AppendBuilt(builder, aTeam, teams);
    });
  return teams;
}

std::vector<Guarantee>
FleetReader::ReadGuarantees(YamlReader& aReader, const TeamName& aTeam)
{
  std::vector<Guarantee> guarantees;
  aReader.ForEachItem("guarantees", [&](YamlReader& aItem) {
    ShapeBuilder shapeBuilder;
    shapeBuilder.Members(ReadInteger(aItem, "members", 1, kMaxMembers));
    shapeBuilder.AcceleratorsPerMember(ReadInteger(
      aItem, "accelerators_per_member", 1, kMaxAcceleratorsPerWorker));
    Reason reason;
    const std::optional<Shape> shape = shapeBuilder.Build(reason);
    if (!shape) {
      aItem.Fail("", reason.Text());
      return;
    }
    GuaranteeBuilder builder;
    builder.Team(aTeam).DataCentre(this->dataCentre).GangShape(*shape);
    builder.Count(
      static_cast<std::int32_t>(aItem.Integer("count", 1, 1, kMaxQuota)));
    AppendBuilt(builder, aItem, guarantees);
  });
  return guarantees;
}

void
FleetReader::ReadServices(YamlReader& aReader, const TeamName& aTeam)
{
  aReader.ForEachEntry(
    "services", [&](const std::string& aName, YamlReader& aService) {
      this->services.Add(aName, "", aService);
      this->ReadSettings(aService,
                         { this->dataCentre, aTeam, ServiceName(aName) });
    });
}

void
FleetReader::ReadSettings(YamlReader& aReader, const SettingsScope& aScope)
{
  this->settings.Scope(aScope, ReadPolicyOverrides(aReader, aScope.Level()));
}

Endpoint
FleetReader::ReadAddress(YamlReader& aReader, const std::string& aKey)
{
  Endpoint address = aReader.Address(aKey);
  if (!address.Ip().empty()) {
    this->addresses.Add(address.Text(), aKey, aReader);
  }
  return address;
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
  FleetReader fleetReader;
  FleetBuilder builder;
  builder.Name(FleetName(reader.Text("name"))).Revision(aRevision);
  builder.DataCentres(fleetReader.ReadDataCentres(reader));
  if (!reader.Finish(aReason)) {
    return std::nullopt;
  }
  const std::optional<SettingsTree> settings = fleetReader.Settings(aReason);
  if (!settings) {
    return std::nullopt;
  }
  return builder.Settings(*settings).Build(aReason);
}

}
