#include "codecs/job_progress_json.h"

#include "codecs/job_json.h"
#include "codecs/json_fields.h"
#include "contracts/job_progress_builder.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

namespace {

nlohmann::json
EncodePlacement(const UnitPlacement& aPlacement)
{
  nlohmann::json workers = nlohmann::json::array();
  for (const WorkerName& worker : aPlacement.workers) {
    workers.push_back(worker.Text());
  }
  return { { "unit", aPlacement.unit },
           { "run", aPlacement.run },
           { "saved", aPlacement.saved },
           { "workers", std::move(workers) } };
}

UnitPlacement
DecodePlacement(const nlohmann::json& aObject)
{
  UnitPlacement placement;
  placement.unit = SmallIntegerField(aObject, "unit", -1);
  placement.run = IntegerField(aObject, "run");
  placement.saved = TextField(aObject, "saved");
  const auto workers = aObject.find("workers");
  if (workers != aObject.end() && workers->is_array()) {
    for (const nlohmann::json& worker : *workers) {
      placement.workers.emplace_back(
        worker.is_string() ? worker.get<std::string>() : std::string());
    }
  }
  return placement;
}

}

std::string
EncodeJobProgress(const JobProgress& aProgress)
{
  nlohmann::json failed = nlohmann::json::array();
  for (const FailedRun& run : aProgress.FailedRuns()) {
    failed.push_back({ { "unit", run.unit }, { "run", run.run } });
  }
  nlohmann::json placements = nlohmann::json::array();
  for (const UnitPlacement& placement : aProgress.Placements()) {
    placements.push_back(EncodePlacement(placement));
  }
  return JsonText({ { "queue", aProgress.Queue().Text() },
                    { "state", JobStateName(aProgress.State()) },
                    { "marks", aProgress.Marks() },
                    { "failed", std::move(failed) },
                    { "placements", std::move(placements) } });
}

std::optional<JobProgress>
DecodeJobProgress(const std::string& aText, Reason& aReason)
{
  const auto object = ParseJsonObject(aText);
  const auto state =
    object ? ParseJobState(TextField(*object, "state")) : std::nullopt;
  if (!state) {
    aReason =
      Reason(Step::kDecode,
             "",
             "stored job progress is not a JSON object with a known state");
    return std::nullopt;
  }
  std::vector<FailedRun> failed;
  for (const nlohmann::json& run :
       object->value("failed", nlohmann::json::array())) {
    failed.push_back(FailedRun{ SmallIntegerField(run, "unit", -1),
                                IntegerField(run, "run") });
  }
  std::vector<UnitPlacement> placements;
  for (const nlohmann::json& placement :
       object->value("placements", nlohmann::json::array())) {
    placements.push_back(DecodePlacement(placement));
  }
  return JobProgressBuilder()
    .Queue(QueueName(TextField(*object, "queue")))
    .State(*state)
    .Marks(TextField(*object, "marks"))
    .FailedRuns(std::move(failed))
    .Placements(std::move(placements))
    .Build(aReason);
}

}
