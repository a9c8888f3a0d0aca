#include "codecs/admitted_job_json.h"

#include "codecs/json_fields.h"
#include "contracts/admitted_job_builder.h"
#include "contracts/job_plan_builder.h"
#include "contracts/job_step_builder.h"
#include "core/reason.h"
#include "machines/resources_builder.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

namespace {

nlohmann::json
EncodeStep(const JobStep& aStep)
{
  return { { "count", aStep.Count() },
           { "milli_cores", aStep.Need().MilliCores() },
           { "memory_mb", aStep.Need().MemoryMb() },
           { "accelerators", aStep.Need().Accelerators() },
           { "estimate_ms", aStep.Estimate().count() },
           { "after", aStep.After() },
           { "gang", aStep.IsGang() },
           { "one_rack", aStep.PrefersOneRack() },
           { "checkpointing", aStep.IsCheckpointing() },
           { "label", aStep.Label() },
           { "data_rack", aStep.DataRack().Text() },
           { "most_on_worker", aStep.MaxTasksPerWorker() },
           { "endless", aStep.IsEndless() } };
}

std::optional<JobStep>
DecodeStep(const nlohmann::json& aStep, Reason& aReason)
{
  const auto need = ResourcesBuilder()
                      .MilliCores(IntegerField(aStep, "milli_cores"))
                      .MemoryMb(IntegerField(aStep, "memory_mb"))
                      .Accelerators(IntegerField(aStep, "accelerators"))
                      .Build(aReason);
  if (!need) {
    return std::nullopt;
  }
  std::vector<std::int32_t> after;
  const auto dependencies = aStep.find("after");
  if (dependencies != aStep.end() && dependencies->is_array()) {
    for (const nlohmann::json& step : *dependencies) {
      after.push_back(SmallInteger(step));
    }
  }
  return JobStepBuilder()
    .Count(SmallIntegerField(aStep, "count"))
    .Need(*need)
    .Estimate(Milliseconds(IntegerField(aStep, "estimate_ms")))
    .After(std::move(after))
    .IsGang(BooleanField(aStep, "gang"))
    .PrefersOneRack(BooleanField(aStep, "one_rack"))
    .IsCheckpointing(BooleanField(aStep, "checkpointing"))
    .Label(TextField(aStep, "label"))
    .DataRack(RackName(TextField(aStep, "data_rack")))
    .MaxTasksPerWorker(SmallIntegerField(aStep, "most_on_worker"))
    .IsEndless(BooleanField(aStep, "endless"))
    .Build(aReason);
}

std::optional<JobPlan>
DecodePlan(const nlohmann::json& aJob, Reason& aReason)
{
  std::vector<JobStep> steps;
  const auto stepList = aJob.find("steps");
  if (stepList != aJob.end() && stepList->is_array()) {
    for (const nlohmann::json& item : *stepList) {
      std::optional<JobStep> step = DecodeStep(item, aReason);
      if (!step) {
        return std::nullopt;
      }
      steps.push_back(std::move(*step));
    }
  }
  return JobPlanBuilder()
    .Payload(TextField(aJob, "payload"))
    .Steps(std::move(steps))
    .Occurrences(SmallIntegerField(aJob, "occurrences", 1))
    .IsTimed(BooleanField(aJob, "timed"))
    .FirstDue(WallTime(Milliseconds(IntegerField(aJob, "first_due_ms"))))
    .Interval(Milliseconds(IntegerField(aJob, "interval_ms")))
    .Build(aReason);
}

/** Factors are stored as whole thousandths, so that decoding gives back the
 * encoded value. */
constexpr double kThousandths = 1000.0;

}

std::string
EncodeAdmittedJob(const AdmittedJob& aJob)
{
  nlohmann::json steps = nlohmann::json::array();
  for (const JobStep& step : aJob.Plan().Steps()) {
    steps.push_back(EncodeStep(step));
  }
  nlohmann::json job{
    { "key", aJob.Key().Text() },
    { "queue", aJob.Queue().Text() },
    { "address", aJob.Address().Text() },
    { "service", aJob.Service().Text() },
    { "team", aJob.Team().Text() },
    { "priority", aJob.Priority() },
    { "most_attempts", aJob.MaxAttempts() },
    { "stretch_thousandths",
      static_cast<std::int64_t>(aJob.Stretch() * kThousandths) },
    { "allowance_ms", aJob.Allowance().count() },
    { "admitted_ms", aJob.Admitted().time_since_epoch().count() },
    { "payload", aJob.Plan().Payload() },
    { "steps", std::move(steps) },
    { "occurrences", aJob.Plan().Occurrences() },
    { "timed", aJob.Plan().IsTimed() },
    { "first_due_ms", aJob.Plan().FirstDue().time_since_epoch().count() },
    { "interval_ms", aJob.Plan().Interval().count() }
  };
  if (!aJob.DataCentre().Empty()) {
    job["data_centre"] = aJob.DataCentre().Text();
  }
  return JsonText(job);
}

std::optional<AdmittedJob>
DecodeAdmittedJob(const std::string& aText, Reason& aReason)
{
  const auto job = ParseJsonObject(aText);
  if (!job) {
    aReason = Reason(Step::kDecode, "", "a stored job must be a JSON object");
    return std::nullopt;
  }
  const auto plan = DecodePlan(*job, aReason);
  if (!plan) {
    return std::nullopt;
  }
  return AdmittedJobBuilder()
    .Key(JobKey(TextField(*job, "key")))
    .Queue(QueueName(TextField(*job, "queue")))
    .Address(QueueAddress(TextField(*job, "address")))
    .Service(ServiceName(TextField(*job, "service")))
    .Team(TeamName(TextField(*job, "team")))
    .DataCentre(DataCentreName(TextField(*job, "data_centre")))
    .Priority(SmallIntegerField(*job, "priority"))
    .MaxAttempts(SmallIntegerField(*job, "most_attempts", 1))
    .Stretch(static_cast<double>(IntegerField(*job, "stretch_thousandths")) /
             kThousandths)
    .Allowance(Milliseconds(IntegerField(*job, "allowance_ms")))
    .Admitted(WallTime(Milliseconds(IntegerField(*job, "admitted_ms"))))
    .Plan(*plan)
    .Build(aReason);
}

}
