#include "codecs/yaml_document.h"
#include "core/rcu_thread.h"
#include "core/reason.h"
#include "tests/harness/process.h"
#include "tests/harness/relay.h"
#include "tests/harness/site_deployment.h"
#include "tests/model/model_settings.h"
#include "tests/model/model_settings_yaml.h"
#include "tests/soak/disruption_log.h"
#include "tests/soak/idle_callers.h"
#include "tests/soak/load_balancer.h"
#include "tests/soak/rehearsal_callers.h"
#include "tests/soak/rehearsal_day.h"
#include "tests/soak/rehearsal_hosts.h"
#include "tests/soak/rehearsal_jobs.h"
#include "tests/soak/rehearsal_options.h"
#include "tests/soak/rehearsal_workers.h"
#include "tests/soak/violation_log.h"

#include <iostream>
#include <nlohmann/json.hpp>
#include <popt.h>
#include <thread>

namespace sardinecourse::harness {

namespace {

/** Time beyond the traffic and the finish after which all processes are killed.
 */
constexpr std::chrono::seconds kMaxExtraTime{ 60 };
/** A job that idles for this time at the end is a violation. */
constexpr std::int64_t kMaxIdleMs = 3000;
constexpr Milliseconds kStoreDelay{ 3 };
/** From the first configuration on, until every host serves it. */
constexpr Milliseconds kApplyTime{ 2000 };

std::string
HostSettingsText(const ModelSettings& aSettings)
{
  return "core_share: " + std::to_string(aSettings.coreShare) +
         "\ntiming:\n  holder_lease_ms: 2000\n  worker_lease_ms: " +
         std::to_string(aSettings.workerLease.count()) +
         "\n  stop_ms: " + std::to_string(aSettings.stopTime.count()) +
         "\n  reclaim_ms: " + std::to_string(aSettings.reclaimTime.count()) +
         "\n";
}

void
JudgeIdle(const SiteDeployment& aSite, ViolationLog& aViolations)
{
  const nlohmann::json report = aSite.Control("idle", {});
  for (const nlohmann::json& job : report.at("idle")) {
    const std::string record =
      job.dump() + " with a share of " + report.at("used_share").dump() +
      " in use at " + report.at("now_ms").dump() + " ms of the stand-in";
    if (job.at("idle_ms").get<std::int64_t>() >= kMaxIdleMs) {
      aViolations.Add("idle_at_end", record);
    } else {
      aViolations.Count("idle_shorter_at_end");
    }
  }
  std::int64_t longestMs = 0;
  std::string longest = "none";
  for (const auto& [job, ms] : report.at("longest_ms").items()) {
    if (ms.get<std::int64_t>() > longestMs) {
      longestMs = ms.get<std::int64_t>();
      longest = job;
    }
  }
  std::cerr << "longest idle time: " << longestMs << " ms, job " << longest
            << "; share in use at the end: " << report.at("used_share") << '\n';
}

void
JudgeStarts(const SiteDeployment& aSite, ViolationLog& aViolations)
{
  const nlohmann::json report = aSite.Control("report", {});
  for (const auto& item : report.at("violations")) {
    const std::string text = item.get<std::string>();
    const bool isTwice = text.starts_with("runs twice") ||
                         text.starts_with("started after its acknowledged");
    aViolations.Add(isTwice ? "started_twice" : "started_wrong", text);
  }
}

bool
Rehearse(const RehearsalOptions& aOptions, const ModelSettings& aSettings)
{
  SiteDeployment site(aOptions.hosts, 0, HostSettingsText(aSettings));
  for (std::size_t host = 0; host < site.Hosts(); ++host) {
    if (!site.WaitUntilReady(host)) {
      std::cerr << "host" << host << " does not become ready\n";
      return false;
    }
    site.StoreLink(host).SetDelay(kStoreDelay);
  }
  const Instant start = Clock::now() + kApplyTime;
  DisruptionLog disruptions(start);
  ViolationLog violations;
  RehearsalWorkers workers(site, aSettings, disruptions);
  workers.Add(aSettings.workers);
  site.Control("config",
               nlohmann::json::parse(
                 RehearsalConfiguration(aSettings, site.Site().Ip(), 1000, 0)));
  LoadBalancer balancer(site);
  std::this_thread::sleep_until(start);
  RehearsalHosts hosts(site, balancer, disruptions, violations);
  RehearsalDay day(
    site, hosts, workers, aSettings, disruptions, aOptions, start);
  RehearsalCallers callers(site,
                           balancer,
                           disruptions,
                           violations,
                           MakeRehearsalJobs(aSettings, aOptions.seed),
                           aOptions.callers,
                           aOptions.seed,
                           start);
  IdleCallers idleCallers(site, balancer, aOptions.idleCallers, aOptions.seed);
  day.Run(start + aOptions.traffic + aOptions.finish);
  JudgeIdle(site, violations);
  callers.AskAtEnd();
  JudgeStarts(site, violations);
  idleCallers.Stop();
  balancer.Stop();
  const bool hasPassed = violations.IsEmpty();
  std::cerr << "rehearsal, seed " << aOptions.seed << ", lease "
            << aSettings.workerLease.count() << " ms, " << aOptions.hosts
            << " hosts, " << aOptions.workers << " workers, "
            << callers.Jobs().size() << " jobs:" << violations.Summary()
            << '\n';
  if (hasPassed && !aOptions.areLogsKept) {
    site.MarkPassed();
  }
  return hasPassed;
}

/** The number, if the option was given. */
Milliseconds
Chosen(int aOption, Milliseconds aDefault)
{
  return aOption < 0 ? aDefault : Milliseconds(aOption);
}

}

}

int
main(int aCount, const char** aArguments)
{
  using namespace sardinecourse;
  harness::RehearsalOptions chosen;
  const char* figures = nullptr;
  const char* closing = nullptr;
  const char* late = nullptr;
  int seed = 1;
  int leaseMs = -1;
  int stopMs = -1;
  int lingerMs = -1;
  int trafficS = -1;
  int finishS = -1;
  double load = 1.0;
  int isPlannedOnly = 0;
  int areLogsKept = 0;
  const poptOption options[] = {
    { "figures", 'f', POPT_ARG_STRING, &figures, 0, "The site", "FILE" },
    { "seed", 's', POPT_ARG_INT, &seed, 0, "Seed of the day", "N" },
    { "hosts", 0, POPT_ARG_INT, &chosen.hosts, 0, "Number of hosts", "N" },
    { "workers", 0, POPT_ARG_INT, &chosen.workers, 0, "Workers", "N" },
    { "callers", 0, POPT_ARG_INT, &chosen.callers, 0, "Callers", "N" },
    { "idle-callers",
      0,
      POPT_ARG_INT,
      &chosen.idleCallers,
      0,
      "Callers that leave connections idle or in the middle of a request",
      "N" },
    { "load", 0, POPT_ARG_DOUBLE, &load, 0, "Factor of the jobs' number", "X" },
    { "lease-ms", 0, POPT_ARG_INT, &leaseMs, 0, "Longest lease", "MS" },
    { "stop-ms", 0, POPT_ARG_INT, &stopMs, 0, "Time to stop a run", "MS" },
    { "linger-ms",
      0,
      POPT_ARG_INT,
      &lingerMs,
      0,
      "Time that a leaving worker stays beyond the announced one",
      "MS" },
    { "traffic-s", 0, POPT_ARG_INT, &trafficS, 0, "Time with traffic", "S" },
    { "finish-s",
      0,
      POPT_ARG_INT,
      &finishS,
      0,
      "Time from the traffic to the questions at the end",
      "S" },
    { "closing",
      0,
      POPT_ARG_STRING,
      &closing,
      0,
      "Fault at the end of the traffic; drawn from the seed by default",
      "kill|power|none" },
    { "late",
      0,
      POPT_ARG_STRING,
      &late,
      0,
      "What happens at the end of the traffic; drawn from the seed by default",
      "drain|evict|roll|evict_kill|crash|cut|kill" },
    { "planned",
      0,
      POPT_ARG_NONE,
      &isPlannedOnly,
      0,
      "Planned work only",
      nullptr },
    { "keep-logs",
      0,
      POPT_ARG_NONE,
      &areLogsKept,
      0,
      "Keep the logs of a day without a violation",
      nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("domain_rehearsal", aCount, aArguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1 || figures == nullptr) {
    std::cerr << "domain_rehearsal: "
              << (figures == nullptr ? "--figures FILE is required"
                                     : poptStrerror(parsed))
              << '\n';
    return 64;
  }
  Reason reason;
  const auto text = ReadTextFile(figures, reason);
  const auto settings =
    text ? DecodeModelSettings(*text, figures, reason) : std::nullopt;
  if (!settings) {
    std::cerr << reason.Message() << '\n';
    return 64;
  }
  ModelSettings scaled = harness::ScaleSettings(*settings, chosen.workers);
  for (ModelKind& kind : scaled.kinds) {
    kind.arrivalsPerSecond *= load;
  }
  scaled.workerLease = harness::Chosen(leaseMs, scaled.workerLease);
  scaled.stopTime = harness::Chosen(stopMs, scaled.stopTime);
  scaled.linger = harness::Chosen(lingerMs, scaled.linger);
  if (trafficS >= 0) {
    scaled.traffic = std::chrono::seconds(trafficS);
  }
  if (finishS >= 0) {
    scaled.finish = std::chrono::seconds(finishS);
  }
  chosen.seed = static_cast<unsigned>(seed);
  chosen.closing = closing == nullptr ? "" : closing;
  chosen.late = late == nullptr ? "" : late;
  chosen.areLogsKept = areLogsKept != 0;
  chosen.isPlannedOnly = isPlannedOnly != 0;
  chosen.traffic = scaled.traffic;
  chosen.finish = scaled.finish;
  poptFreeContext(context);
  harness::KillProcessesOnSignals(
    std::chrono::duration_cast<std::chrono::seconds>(chosen.traffic +
                                                     chosen.finish) +
    harness::kMaxExtraTime);
  const RcuThread rcuThread;
  return harness::Rehearse(chosen, scaled) ? 0 : 1;
}
