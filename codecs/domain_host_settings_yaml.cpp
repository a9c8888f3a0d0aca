#include "codecs/domain_host_settings_yaml.h"

#include "codecs/caller_limits_yaml.h"
#include "codecs/domain_policy_yaml.h"
#include "codecs/host_settings_yaml.h"
#include "codecs/yaml_document.h"
#include "codecs/yaml_reader.h"
#include "contracts/domain_host_settings_builder.h"
#include "contracts/domain_timing_builder.h"
#include "core/reason.h"

#include <yaml-cpp/yaml.h>

namespace sardinecourse {

namespace {

constexpr const char* kStoreKey = "store";
constexpr std::int64_t kMaxThreads = 256;
constexpr std::int64_t kDefaultThreads = 1;
constexpr double kDefaultCoreShare = 1.0;
constexpr double kMinCoreShare = 0.001;
constexpr double kMaxCoreShare = 1024.0;
/** One hour. A longer time is refused as a probable mistake in the unit. */
constexpr std::int64_t kMaxDurationMs = 3'600'000;
/** The memory of a small host, and several times the size of the largest job
 * that the store can hold. */
constexpr CallerLimitDefaults kLimitDefaults{ 256, 256 };
constexpr double kMinRestartS = 0.1;
constexpr double kMaxRestartS = 3600.0;

Milliseconds
ReadDuration(YamlReader& aReader,
             const std::string& aKey,
             Milliseconds aDefault)
{
  return Milliseconds(
    aReader.Integer(aKey, aDefault.count(), 1, kMaxDurationMs));
}

std::optional<DomainTiming>
ReadTiming(YamlReader& aReader, Reason& aReason)
{
  const DomainTiming defaults;
  DomainTimingBuilder timing;
  aReader.Section("timing", [&](YamlReader& aTiming) {
    timing.HolderLease(
      ReadDuration(aTiming, "holder_lease_ms", defaults.HolderLease()));
    timing.WorkerLease(
      ReadDuration(aTiming, "worker_lease_ms", defaults.WorkerLease()));
    timing.RestartTime(aTiming.Seconds(
      "restart_s", defaults.RestartTime(), kMinRestartS, kMaxRestartS));
    timing.StopTime(ReadDuration(aTiming, "stop_ms", defaults.StopTime()));
    timing.ReclaimTime(
      ReadDuration(aTiming, "reclaim_ms", defaults.ReclaimTime()));
    timing.RevokeTime(
      ReadDuration(aTiming, "revoke_ms", defaults.RevokeTime()));
    // A platform without such a limit leaves the value empty.
    if (aTiming.IsEmpty("evacuate_ms")) {
      timing.EvacuateTime(std::nullopt);
    } else {
      timing.EvacuateTime(ReadDuration(
        aTiming, "evacuate_ms", DomainTimingBuilder::kMinEvacuateTime));
    }
    timing.FinalJobRetention(
      ReadDuration(aTiming, "keep_final_ms", defaults.FinalJobRetention()));
  });
  return timing.Build(aReason);
}

}

bool
IsDomainHostSettings(const std::string& aText)
{
  Reason ignored; // DecodeDomainHostSettings() reports the error.
  const std::optional<YAML::Node> node = ParseYaml(aText, "", ignored);
  return node && node->IsMap() && (*node)[kStoreKey].IsDefined();
}

std::optional<DomainHostSettings>
DecodeDomainHostSettings(const std::string& aText,
                         const std::string& aFile,
                         Reason& aReason)
{
  const std::optional<YAML::Node> node = ParseYaml(aText, aFile, aReason);
  if (!node) {
    return std::nullopt;
  }
  YamlReader reader(*node, aFile, "host");
  DomainHostSettingsBuilder host;
  host.Name(HostName(reader.Text("name")));
  host.DataCentre(DataCentreName(reader.Text("data_centre")));
  host.Callers(reader.Address("callers"));
  host.Readiness(reader.Address("readiness"));
  host.Metrics(reader.Address("metrics"));
  host.Store(reader.Address(kStoreKey));
  host.Threads(static_cast<std::int32_t>(
    reader.Integer("threads", kDefaultThreads, 1, kMaxThreads)));
  host.ShareOfCore(reader.Number(
    "core_share", kDefaultCoreShare, kMinCoreShare, kMaxCoreShare));
  host.GraceTime(ReadGraceTime(reader, DomainHostSettings().GraceTime()));
  host.LogLevel(ReadLogLevel(reader));
  const std::optional<DomainTiming> timing = ReadTiming(reader, aReason);
  std::optional<DomainPolicy> policy = DomainPolicy();
  reader.Section("policy", [&policy, &aReason](YamlReader& aPolicy) {
    policy = ReadDomainPolicy(aPolicy, aReason);
  });
  const std::optional<CallerLimits> limits =
    ReadCallerLimits(reader, kLimitDefaults, aReason);
  if (!reader.Finish(aReason) || !timing || !policy || !limits) {
    return std::nullopt;
  }
  return host.Timing(*timing).Policy(*policy).Limits(*limits).Build(aReason);
}

}
