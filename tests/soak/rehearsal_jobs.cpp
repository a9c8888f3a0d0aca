#include "tests/soak/rehearsal_jobs.h"

#include "tests/model/job_stream.h"
#include "tests/model/model_job.h"
#include "tests/model/model_settings.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace sardinecourse::harness {

namespace {

using nlohmann::json;

/** With more workers the number of jobs grows by this power, and their width by
 * the other. */
constexpr double kArrivalPower = 0.7;
constexpr double kWidthPower = 0.35;

std::string
KeyOf(unsigned aSeed, std::size_t aIndex)
{
  std::array<char, 17> text{};
  std::snprintf(
    text.data(), text.size(), "%08x%08x", aSeed, static_cast<unsigned>(aIndex));
  return text.data();
}

std::string
ApiKeyOf(const std::string& aTeam)
{
  return "key-" + aTeam;
}

json
StepBody(const JobStep& aStep)
{
  json body = { { "Count", aStep.Count() },
                { "Cpu", aStep.Need().MilliCores() },
                { "MemMb", aStep.Need().MemoryMb() },
                { "Gpu", aStep.Need().Accelerators() },
                { "EstimateMs", aStep.Estimate().count() } };
  if (aStep.IsGang()) {
    body["Gang"] = true;
  }
  if (aStep.PrefersOneRack()) {
    body["SameRack"] = true;
  }
  if (aStep.DataRack() != RackName()) {
    body["Affinity"] = aStep.DataRack().Text();
  }
  if (aStep.MaxTasksPerWorker() > 0) {
    body["AntiAffinity"] = aStep.MaxTasksPerWorker();
  }
  if (!aStep.After().empty()) {
    body["DependsOn"] = aStep.After();
  }
  return body;
}

json
StepProperties(const JobStep& aStep, const std::vector<Milliseconds>& aRunTimes)
{
  json workMs = json::array();
  for (const Milliseconds runTime : aRunTimes) {
    workMs.push_back(runTime.count());
  }
  return { { "count", aStep.Count() },
           { "gang", aStep.IsGang() },
           { "milli_cores", aStep.Need().MilliCores() },
           { "memory_mb", aStep.Need().MemoryMb() },
           { "accelerators", aStep.Need().Accelerators() },
           { "one_rack", aStep.PrefersOneRack() },
           { "data_rack", aStep.DataRack().Text() },
           { "work_ms", std::move(workMs) } };
}

}

ModelSettings
ScaleSettings(const ModelSettings& aSettings, int aWorkers)
{
  ModelSettings scaled = aSettings;
  const double factor = static_cast<double>(aWorkers) / aSettings.workers;
  scaled.workers = aWorkers;
  for (ModelKind& kind : scaled.kinds) {
    kind.arrivalsPerSecond *= std::pow(factor, kArrivalPower);
    kind.width *= std::pow(factor, kWidthPower);
    kind.maxWidth *= std::pow(factor, kWidthPower);
  }
  return scaled;
}

std::vector<RehearsalJob>
MakeRehearsalJobs(const ModelSettings& aSettings, unsigned aSeed)
{
  std::vector<RehearsalJob> jobs;
  for (const ModelJob& model : MakeJobStream(aSettings, aSeed)) {
    const ModelKind& kind = aSettings.kinds[model.kind];
    RehearsalJob job;
    job.key = KeyOf(aSeed, jobs.size());
    job.path = "/" + kind.name + "/" + job.key;
    job.apiKey = ApiKeyOf(model.job.Team().Text());
    json steps = json::array();
    json properties = json::array();
    const std::vector<JobStep>& plan = model.job.Plan().Steps();
    for (std::size_t step = 0; step < plan.size(); ++step) {
      steps.push_back(StepBody(plan[step]));
      properties.push_back(StepProperties(plan[step], model.runTimes[step]));
    }
    job.body = json({ { "Spec", "text" }, { "Steps", steps } }).dump();
    job.properties = json({ { "job", job.key },
                            { "attempts", kind.maxAttempts },
                            { "fails", model.alwaysFails },
                            { "failure_share", kind.failureShare },
                            { "steps", properties } })
                       .dump();
    job.steps = static_cast<std::int32_t>(plan.size());
    job.arrival = model.arrival;
    job.cancelAt = model.cancelAt;
    jobs.push_back(std::move(job));
  }
  return jobs;
}

std::string
RehearsalConfiguration(const ModelSettings& aSettings,
                       const std::string& aAuthority,
                       std::int64_t aVersion,
                       int aFurtherQueues)
{
  json queues = json::array();
  for (const ModelKind& kind : aSettings.kinds) {
    queues.push_back({ { "Name", kind.name },
                       { "Host", aAuthority },
                       { "PathPrefix", "/" + kind.name + "/" },
                       { "Service", "s1" },
                       { "Priority", kind.priority },
                       { "MaxAttempts", kind.maxAttempts },
                       { "Stretch", kind.stretch },
                       { "TargetDurationMs", kind.allowance.count() } });
  }
  for (int further = 0; further < aFurtherQueues; ++further) {
    json queue = queues.front();
    queue["Name"] = "further" + std::to_string(further);
    queue["PathPrefix"] = "/further" + std::to_string(further) + "/";
    queues.push_back(std::move(queue));
  }
  const double accelerators =
    aSettings.guaranteed * aSettings.workers *
    static_cast<double>(aSettings.workerCapacity.Accelerators());
  json teams = json::array();
  for (std::int32_t team = 0; team < aSettings.teams; ++team) {
    const std::string name = "team-" + std::to_string(team);
    teams.push_back({ { "Name", name },
                      { "ApiKeys", { ApiKeyOf(name) } },
                      { "Guaranteed",
                        { { "Gpu",
                            static_cast<std::int64_t>(accelerators /
                                                      aSettings.teams) } } } });
  }
  return json({ { "Version", aVersion },
                { "Routes", std::move(queues) },
                { "Tenants", std::move(teams) } })
    .dump();
}

}
