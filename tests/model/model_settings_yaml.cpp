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

constexpr double kMost = 1e9;
constexpr std::int64_t kMaxWhole = 1'000'000'000;

double
Positive(YamlReader& aReader, const char* aKey, double aDefault)
{
  return aReader.Number(aKey, aDefault, 0.0, kMost);
}

double
Share(YamlReader& aReader, const char* aKey)
{
  return aReader.Number(aKey, 0.0, 0.0, 1.0);
}

std::int64_t
Whole(YamlReader& aReader, const char* aKey, std::int64_t aDefault)
{
  return aReader.Integer(aKey, aDefault, 0, kMaxWhole);
}

Milliseconds
Time(YamlReader& aReader, const char* aKey, std::int64_t aDefault)
{
  return Milliseconds(Whole(aReader, aKey, aDefault));
}

/** Numbers with spaces between. */
template<typename Value>
std::vector<Value>
List(YamlReader& aReader, const char* aKey, const char* aDefault)
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
ReadRoom(YamlReader& aReader, std::int64_t aAccelerators)
{
  Reason reason;
  const auto room = ResourcesBuilder()
                      .MilliCores(Whole(aReader, "milli_cores", 0))
                      .MemoryMb(Whole(aReader, "memory_mb", 0))
                      .Accelerators(aAccelerators)
                      .Build(reason);
  if (!room) {
    aReader.Fail("milli_cores", reason.Message());
  }
  return room.value_or(Resources());
}

ModelKind
ReadKind(const std::string& aName, YamlReader& aReader)
{
  ModelKind kind;
  kind.name = aName;
  kind.priority = static_cast<std::int32_t>(Whole(aReader, "priority", 0));
  kind.perSecond = Positive(aReader, "per_s", 0.0);
  kind.width = Positive(aReader, "width", 1.0);
  kind.widthSpread = Positive(aReader, "width_spread", 0.0);
  kind.maxWidth = Positive(aReader, "most_width", kind.width);
  kind.maxAccelerators =
    Positive(aReader, "most_accelerators", kind.maxAccelerators);
  kind.steps = Positive(aReader, "steps", 1.0);
  kind.maxSteps = Positive(aReader, "most_steps", kind.steps);
  kind.need = ReadRoom(aReader, 0);
  kind.accelerators = List<std::int64_t>(aReader, "accelerators", "1");
  kind.work = Time(aReader, "work_ms", 1000);
  kind.workSpread = Positive(aReader, "work_spread", 0.0);
  kind.maxWork = Time(aReader, "most_work_ms", kind.work.count());
  kind.uneven = Share(aReader, "uneven");
  kind.estimateError = Share(aReader, "estimate_error");
  kind.gangShare = Share(aReader, "gang_share");
  kind.oneRackShare = Share(aReader, "one_rack_share");
  kind.checkpointShare = Share(aReader, "checkpoint_share");
  kind.dataRackShare = Share(aReader, "data_rack_share");
  kind.apartShare = Share(aReader, "apart_share");
  kind.poisonShare = Share(aReader, "poison_share");
  kind.failureShare = Share(aReader, "failure_share");
  kind.cancelShare = Share(aReader, "cancel_share");
  kind.maxAttempts =
    static_cast<std::int32_t>(Whole(aReader, "most_attempts", 3));
  kind.stretch = Positive(aReader, "stretch", 1.0);
  kind.allowance = Time(aReader, "allowance_ms", 0);
  kind.worth = Positive(aReader, "worth", 1.0);
  kind.lateWorth = Positive(aReader, "late_worth", 0.0);
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
  } else {
    aReader.Fail("kind", "must be burst, slow or restart");
  }
  trouble.at = Time(aReader, "at_ms", 0);
  trouble.length = Time(aReader, "for_ms", 0);
  trouble.jobs = aReader.Text("jobs", "");
  trouble.factor = Positive(aReader, "factor", 1.0);
  trouble.share = Share(aReader, "share");
  return trouble;
}

void
ReadFleet(YamlReader& aReader, ModelSettings& aSettings)
{
  aSettings.workers =
    static_cast<std::int32_t>(Whole(aReader, "workers", aSettings.workers));
  aSettings.workersPerRack = static_cast<std::int32_t>(
    aReader.Integer("workers_per_rack", 1, 1, kMaxWhole));
  aSettings.speeds = List<double>(aReader, "speeds", "1.0");
  aSettings.room = ReadRoom(aReader, Whole(aReader, "accelerators", 0));
  aSettings.teams =
    static_cast<std::int32_t>(aReader.Integer("teams", 1, 1, kMaxWhole));
  aSettings.guaranteed = Share(aReader, "guaranteed");
  aSettings.stopTime = Time(aReader, "stop_ms", 0);
  aSettings.reclaimTime = Time(aReader, "reclaim_ms", 3000);
  aSettings.restoreTime = Time(aReader, "restore_ms", 0);
  aSettings.saveInterval = Time(aReader, "save_ms", 500);
  aSettings.remoteSlowdown = Positive(aReader, "far_factor", 1.0);
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
  settings.traffic = Time(reader, "traffic_ms", settings.traffic.count());
  settings.finish = Time(reader, "finish_ms", 0);
  settings.wastePrice = Positive(reader, "waste_price", 0.0);
  settings.wholeWeight = Positive(reader, "whole_weight", 1.0);
  settings.worstKindWeight = Positive(reader, "worst_kind_weight", 0.0);
  reader.Each("jobs", [&settings](const std::string& aName, YamlReader& aKind) {
    settings.kinds.push_back(ReadKind(aName, aKind));
  });
  reader.EachItem("troubles", [&settings](YamlReader& aTrouble) {
    settings.troubles.push_back(ReadTrouble(aTrouble));
  });
  bool isPolicyRead = true;
  reader.Each("policies", [&](const std::string& aName, YamlReader& aPolicy) {
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
