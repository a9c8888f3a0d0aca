#include "codecs/host_settings_yaml.h"

#include "codecs/caller_limits_yaml.h"
#include "codecs/yaml_document.h"
#include "codecs/yaml_reader.h"
#include "contracts/policy_key_traits.h"
#include "machines/entry_host_builder.h"
#include "machines/host_settings_builder.h"

#include <algorithm>
#include <yaml-cpp/yaml.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kMaxThreads = 256;
constexpr std::int64_t kDefaultThreads = 2;
/** Requests may be as large as a fleet's settings allow at most. */
constexpr CallerLimitDefaults kLimitDefaults{ 1040, 65'536 };
constexpr double kMinGraceS = 1.0;
constexpr double kMaxGraceS = 3600.0;

EntryHostBuilder
ReadHost(YamlReader& aReader)
{
  EntryHostBuilder host;
  host.Name(HostName(aReader.Text("name")));
  host.DataCentre(DataCentreName(aReader.Text("data_centre")));
  const Endpoint callers = aReader.Address("callers");
  const Endpoint peers = aReader.Address("peers");
  if (callers == peers) {
    aReader.Fail("peers", "must differ from callers");
  }
  host.Callers(callers);
  host.Peers(peers);
  return host;
}

bool
HasDuplicate(std::vector<Endpoint> aEndpoints)
{
  std::sort(aEndpoints.begin(), aEndpoints.end());
  return std::adjacent_find(aEndpoints.begin(), aEndpoints.end()) !=
         aEndpoints.end();
}

void
RejectDuplicates(YamlReader& aReader,
                 const std::string& aKey,
                 const std::vector<Endpoint>& aEndpoints)
{
  if (HasDuplicate(aEndpoints)) {
    aReader.Fail(aKey, "holds an address twice");
  }
}

}

std::string
ReadLogLevel(YamlReader& aReader)
{
  std::string level = aReader.Text("log_level", "INFO");
  const auto& levels = TraitsOf(PolicyKey::kLogLevel).choices;
  if (std::find(levels.begin(), levels.end(), level) == levels.end()) {
    aReader.Fail("log_level", "is not a level of the log");
  }
  return level;
}

Milliseconds
ReadGraceTime(YamlReader& aReader, Milliseconds aDefault)
{
  return aReader.Seconds("grace_s", aDefault, kMinGraceS, kMaxGraceS);
}

std::optional<HostSettings>
DecodeHostSettings(const std::string& aText,
                   const std::string& aFile,
                   Reason& aReason)
{
  const std::optional<YAML::Node> node = ParseYaml(aText, aFile, aReason);
  if (!node) {
    return std::nullopt;
  }
  YamlReader reader(*node, aFile, "host");
  const EntryHostBuilder hostBuilder = ReadHost(reader);
  HostSettingsBuilder settings;
  const std::vector<Endpoint> platform = reader.Addresses("platform");
  const std::vector<Endpoint> seeds = reader.Addresses("peer_seeds");
  RejectDuplicates(reader, "platform", platform);
  RejectDuplicates(reader, "peer_seeds", seeds);
  settings.Platform(platform);
  settings.Peers(seeds);
  settings.Threads(static_cast<std::int32_t>(
    reader.Integer("threads", kDefaultThreads, 1, kMaxThreads)));
  settings.GraceTime(ReadGraceTime(reader, HostSettings().GraceTime()));
  settings.LogLevel(ReadLogLevel(reader));
  settings.LogFile(reader.Text("log_file", ""));
  const std::optional<CallerLimits> limits =
    ReadCallerLimits(reader, kLimitDefaults, aReason);
  if (!reader.Finish(aReason) || !limits) {
    return std::nullopt;
  }
  settings.Limits(*limits);
  const std::optional<EntryHost> host = hostBuilder.Build(aReason);
  if (!host) {
    return std::nullopt;
  }
  return settings.Host(*host).Build(aReason);
}

}
