#include "tests/model/model_settings_yaml.h"

#include "codecs/domain_policy_yaml.h"
#include "codecs/yaml_document.h"
#include "codecs/yaml_reader.h"
#include "core/reason.h"
#include "machines/resources_builder.h"
#include "tests/model/model_settings.h"

#include <sstream>
#include <yaml-cpp/yaml.h>

namespace sardinecourse {

namespace {

constexpr double kMaxNumber = 1e9;
constexpr std::int64_t kMaxInteger = 1'000'000'000;

double
ReadNonNegative(YamlReader& aReader, const char* aKey, double aDefault)
{
  return aReader.Number(aKey, aDefault, 0.0, kMaxNumber);
}

double
ReadShare(YamlReader& aReader, const char* aKey)
{
  return aReader.Number(aKey, 0.0, 0.0, 1.0);
}

std::int64_t
ReadInteger(YamlReader& aReader, const char* aKey, std::int64_t aDefault)
{
  return aReader.Integer(aKey, aDefault, 0, kMaxInteger);
}

Milliseconds
ReadMilliseconds(YamlReader& aReader, const char* aKey, std::int64_t aDefault)
{
  return Milliseconds(ReadInteger(aReader, aKey, aDefault));
}

/** Reads a list of numbers separated by spaces. */
template<typename Value>
std::vector<Value>
ReadList(YamlReader& aReader, const char* aKey, const char* aDefault)
{
  std::istringstream text(aReader.Text(aKey, aDefault));
  std::vector<Value> values;
  for (Value value = 0; text >> value;) {
    values.push_back(value);
  }
  if (values.empty() || !text.eof()) {
    aReader.Fail(aKey, "must be numbers with spaces between");
  }
  return values;
}

Resources
ReadResources(YamlReader& aReader, std::int64_t aAccelerators)
{
  Reason reason;
  const auto resources = ResourcesBuilder()
                           .MilliCores(ReadInteger(aReader, "milli_cores", 0))
                           .MemoryMb(ReadInteger(aReader, "memory_mb", 0))
                           .Accelerators(aAccelerators)
                           .Build(reason);
  if (!resources) {
    aReader.Fail("milli_cores", reason.Message());
  }
  return resources.value_or(Resources());
}

ModelKind
ReadKind(const std::string& aName, YamlReader& aReader)
{
  ModelKind kind;
  kind.name = aName;
  kind.priority =
    static_cast<std::int32_t>(ReadInteger(aReader, "priority", 0));
  kind.arrivalsPerSecond = ReadNonNegative(aReader, "per_s", 0.0);
  kind.width = ReadNonNegative(aReader, "width", 1.0);
  kind.widthSpread = ReadNonNegative(aReader, "width_spread", 0.0);
  kind.maxWidth = ReadNonNegative(aReader, "most_width", kind.width);
  kind.maxAccelerators =
    ReadNonNegative(aReader, "most_accelerators", kind.maxAccelerators);
  kind.steps = ReadNonNegative(aReader, "steps", 1.0);
  kind.maxSteps = ReadNonNegative(aReader, "most_steps", kind.steps);
  kind.need = ReadResources(aReader, 0);
  kind.accelerators = ReadList<std::int64_t>(aReader, "accelerators", "1");
  kind.work = ReadMilliseconds(aReader, "work_ms", 1000);
  kind.workSpread = ReadNonNegative(aReader, "work_spread", 0.0);
  kind.maxWork = ReadMilliseconds(aReader, "most_work_ms", kind.work.count());
  kind.unevenness = ReadShare(aReader, "uneven");
  kind.estimateError = ReadShare(aReader, "estimate_error");
  kind.gangShare = ReadShare(aReader, "gang_share");
  kind.oneRackShare = ReadShare(aReader, "one_rack_share");
  kind.checkpointShare = ReadShare(aReader, "checkpoint_share");
  kind.dataRackShare = ReadShare(aReader, "data_rack_share");
  kind.oneTaskPerWorkerShare = ReadShare(aReader, "apart_share");
  kind.poisonShare = ReadShare(aReader, "poison_share");
  kind.failureShare = ReadShare(aReader, "failure_share");
  kind.cancelShare = ReadShare(aReader, "cancel_share");
  kind.maxAttempts =
    static_cast<std::int32_t>(ReadInteger(aReader, "most_attempts", 3));
  kind.stretch = ReadNonNegative(aReader, "stretch", 1.0);
  kind.allowance = ReadMilliseconds(aReader, "allowance_ms", 0);
  kind.worth = ReadNonNegative(aReader, "worth", 1.0);
  kind.lateWorth = ReadNonNegative(aReader, "late_worth", 0.0);
  return kind;
}

ModelTrouble
ReadTrouble(YamlReader& aReader)
{
  ModelTrouble trouble;
  const std::string kind = aReader.Text("kind");
  if (kind == "burst") {
    trouble.kind = ModelTrouble::Kind::kBurst;
  } else if (kind == "slow") {
    trouble.kind = ModelTrouble::Kind::kSlow;
  } else if (kind == "restart") {
    trouble.kind = ModelTrouble::Kind::kRestart;
  } else if (kind == "leave") {
    trouble.kind = ModelTrouble::Kind::kLeave;
  } else if (kind == "takeover") {
    trouble.kind = ModelTrouble::Kind::kTakeover;
  } else {
    aReader.Fail("kind", "must be burst, slow, restart, leave or takeover");
  }
  trouble.start = ReadMilliseconds(aReader, "at_ms", 0);
  trouble.duration = ReadMilliseconds(aReader, "for_ms", 0);
  trouble.jobs = aReader.Text("jobs", "");
  trouble.factor = ReadNonNegative(aReader, "factor", 1.0);
  trouble.share = ReadShare(aReader, "share");
  return trouble;
}

void
ReadFleet(YamlReader& aReader, ModelSettings& aSettings)
{
  aSettings.workers = static_cast<std::int32_t>(
    ReadInteger(aReader, "workers", aSettings.workers));
  aSettings.workersPerRack = static_cast<std::int32_t>(
    aReader.Integer("workers_per_rack", 1, 1, kMaxInteger));
  aSettings.runTimeFactors = ReadList<double>(aReader, "speeds", "1.0");
  aSettings.workerCapacity =
    ReadResources(aReader, ReadInteger(aReader, "accelerators", 0));
  aSettings.teams =
    static_cast<std::int32_t>(aReader.Integer("teams", 1, 1, kMaxInteger));
  aSettings.guaranteed = ReadShare(aReader, "guaranteed");
  aSettings.workerLease =
    ReadMilliseconds(aReader, "worker_lease_ms", aSettings.workerLease.count());
  aSettings.linger = ReadMilliseconds(aReader, "linger_ms", 0);
  aSettings.coreShare =
    ReadNonNegative(aReader, "core_share", aSettings.coreShare);
  aSettings.stopTime = ReadMilliseconds(aReader, "stop_ms", 0);
  aSettings.reclaimTime = ReadMilliseconds(aReader, "reclaim_ms", 3000);
  aSettings.restoreTime = ReadMilliseconds(aReader, "restore_ms", 0);
  aSettings.saveInterval = ReadMilliseconds(aReader, "save_ms", 500);
  aSettings.remoteSlowdown = ReadNonNegative(aReader, "far_factor", 1.0);
}

}

std::optional<ModelSettings>
DecodeModelSettings(const std::string& aText,
                    const std::string& aFile,
                    Reason& aReason)
{
  const std::optional<YAML::Node> node = ParseYaml(aText, aFile, aReason);
  if (!node) {
    return std::nullopt;
  }
  ModelSettings settings;
  YamlReader reader(*node, aFile, "model");
  reader.Section(
    "fleet", [&settings](YamlReader& aFleet) { ReadFleet(aFleet, settings); });
  settings.traffic =
    ReadMilliseconds(reader, "traffic_ms", settings.traffic.count());
  settings.finish = ReadMilliseconds(reader, "finish_ms", 0);
  settings.lostWorkPrice = ReadNonNegative(reader, "waste_price", 0.0);
  settings.totalWeight = ReadNonNegative(reader, "whole_weight", 1.0);
  settings.worstKindWeight = ReadNonNegative(reader, "worst_kind_weight", 0.0);
  reader.ForEachEntry("jobs",
                      [&settings](const std::string& aName, YamlReader& aKind) {
                        settings.kinds.push_back(ReadKind(aName, aKind));
                      });
  reader.ForEachItem("troubles", [&settings](YamlReader& aTrouble) {
    settings.troubles.push_back(ReadTrouble(aTrouble));
  });
  bool isPolicyRead = true;
  reader.ForEachEntry(
    "policies", [&](const std::string& aName, YamlReader& aPolicy) {
      const auto policy = ReadDomainPolicy(aPolicy, aReason);
      isPolicyRead = isPolicyRead && policy;
      settings.policies.emplace_back(aName, policy.value_or(DomainPolicy()));
    });
  if (!reader.Finish(aReason) || !isPolicyRead) {
    return std::nullopt;
  }
  if (settings.kinds.empty() || settings.policies.empty()) {
    aReason = Reason(
      Step::kDecode, aFile, "a model needs jobs and policies to compare");
    return std::nullopt;
  }
  return settings;
}

}
