#include "core/rcu_thread.h"
#include "tests/harness/process.h"
#include "tests/harness/site_deployment.h"
#include "tests/harness/wait.h"
#include "tests/soak/host_pauses.h"
#include "tests/soak/open_callers.h"
#include "tests/soak/planned_work.h"
#include "tests/soak/soak_callers.h"
#include "tests/soak/soak_faults.h"
#include "tests/soak/stalling_callers.h"

#include <algorithm>
#include <iostream>
#include <popt.h>
#include <set>

namespace sardinecourse::harness {

namespace {

constexpr int kHosts = 4;
constexpr int kWorkers = 8;
/** Time after the last fault in which every accepted job must end. Covers the
 * longest lease, a takeover and the remaining work. */
constexpr Milliseconds kSettleTime{ 60'000 };
/** From this time after the answer to a cancellation on, a start of the job is
 * a violation. */
constexpr Milliseconds kCancelGrace{ 3000 };
/** Time beyond the faults after which all processes are killed. */
constexpr std::chrono::seconds kMaxExtraTime{ 90 };

using Outcome = SoakJob::Outcome;

/** Compares the answers that the callers received with the site's state. */
class SoakCheck
{
public:
  SoakCheck(SiteDeployment& aSite, std::vector<SoakJob> aJobs)
    : site(&aSite)
    , jobs(std::move(aJobs))
  {
  }

  bool Holds()
  {
    this->ForbidRefused();
    this->WaitForEnds();
    for (const SoakJob& job : this->jobs) {
      this->CheckState(job);
    }
    const nlohmann::json report = this->site->Control("report", {});
    for (const auto& violation : report.at("violations")) {
      this->AddViolation(violation.get<std::string>());
    }
    if (!report.at("running").empty()) {
      this->AddViolation("still running: " + report.at("running").dump());
    }
    this->CheckPending();
    return this->hasPassed;
  }

private:
  /** Makes any later start of a refused or cancelled job a violation; an
   * earlier one shows in the job's state. */
  void ForbidRefused() const
  {
    for (const SoakJob& job : this->jobs) {
      const bool isPastCancelGrace =
        job.outcome == Outcome::kCancelled &&
        Clock::now() > job.settledAt + kCancelGrace;
      if (job.outcome == Outcome::kRefused || isPastCancelGrace) {
        this->site->Control("forbid", { { "job", job.key } });
      }
    }
  }

  static bool IsFinal(const std::string& aState)
  {
    return aState != "queued" && aState != "running" && !aState.empty();
  }

  /** The state of a job as host0 reports it, "unknown" for a job that does not
   * exist, and empty without an answer. */
  std::string StateOf(const std::string& aKey) const
  {
    constexpr int kNoJob = 410;
    const std::string state = this->site->StateOf(0, aKey);
    const bool isUnknown =
      state.empty() &&
      this->site->Call(0, "GET", SiteDeployment::PathOf(aKey)) == kNoJob;
    return isUnknown ? "unknown" : state;
  }

  void WaitForEnds() const
  {
    std::set<std::string> pending;
    for (const SoakJob& job : this->jobs) {
      if (job.outcome == Outcome::kAccepted ||
          job.outcome == Outcome::kUnknown ||
          job.outcome == Outcome::kMaybeCancelled) {
        pending.insert(job.key);
      }
    }
    WaitUntil(kSettleTime, [this, &pending] {
      std::erase_if(pending, [this](const std::string& aKey) {
        return IsFinal(this->StateOf(aKey));
      });
      return pending.empty();
    });
  }

  void CheckState(const SoakJob& aJob)
  {
    const std::string state = this->StateOf(aJob.key);
    const bool isFound = state != "unknown";
    const bool isDone = state == "completed";
    const bool isExpected = (aJob.outcome == Outcome::kAccepted && isDone) ||
                            ((aJob.outcome == Outcome::kCancelled ||
                              aJob.outcome == Outcome::kMaybeCancelled) &&
                             (isDone || state == "cancelled")) ||
                            (aJob.outcome == Outcome::kRefused && !isFound) ||
                            (aJob.outcome == Outcome::kUnknown &&
                             (isDone || !isFound || state == "cancelled"));
    if (!isExpected) {
      this->AddViolation(aJob.key + " is \"" + state +
                         "\", but its caller recorded outcome " +
                         std::to_string(static_cast<int>(aJob.outcome)));
    }
  }

  /** No accepted job waits any more, and each host must say so soon. */
  void CheckPending()
  {
    constexpr Milliseconds kVisibleTime{ 5000 };
    for (std::size_t host = 0; host < this->site->Hosts(); ++host) {
      const bool isNone = WaitUntil(kVisibleTime, [this, host] {
        return this->site->PendingOf(host) == 0;
      });
      if (!isNone) {
        const auto pending = this->site->PendingOf(host);
        this->AddViolation("host" + std::to_string(host) + " gives " +
                           (pending ? std::to_string(*pending) : "no") +
                           " pending jobs, but none waits");
      }
    }
  }

  void AddViolation(const std::string& aViolation)
  {
    std::cerr << "violation: " << aViolation << '\n';
    this->hasPassed = false;
  }

  SiteDeployment* site;
  std::vector<SoakJob> jobs;
  bool hasPassed = true;
};

std::size_t
CountOf(const std::vector<SoakJob>& aJobs, Outcome aOutcome)
{
  return std::count_if(
    aJobs.begin(), aJobs.end(), [aOutcome](const SoakJob& aJob) {
      return aJob.outcome == aOutcome;
    });
}

bool
Soak(unsigned aSeed, std::chrono::seconds aLength, int aThreads)
{
  SiteDeployment site(
    kHosts,
    kWorkers,
    "threads: " + std::to_string(aThreads) + "\ntiming: {evacuate_ms: " +
      std::to_string(SoakFaults::kEvacuateTime.count()) + "}\n");
  for (std::size_t host = 0; host < site.Hosts(); ++host) {
    if (!site.WaitUntilReady(host)) {
      std::cerr << "host" << host << " does not become ready\n";
      return false;
    }
  }
  SoakCallers callers(site, aSeed);
  SoakFaults faults(site, aSeed);
  faults.Run(Clock::now() + aLength);
  faults.EndAll();
  callers.Stop();
  bool hasPassed = true;
  for (std::size_t host = 0; host < site.Hosts(); ++host) {
    hasPassed = site.WaitUntilReady(host) && hasPassed;
  }
  const std::vector<SoakJob> jobs = callers.Jobs();
  hasPassed = SoakCheck(site, jobs).Holds() && hasPassed;
  std::cerr << "seed " << aSeed << ": " << jobs.size() << " jobs, "
            << CountOf(jobs, Outcome::kAccepted) << " accepted, "
            << CountOf(jobs, Outcome::kCancelled) << " cancelled, "
            << CountOf(jobs, Outcome::kRefused) << " refused, "
            << CountOf(jobs, Outcome::kUnknown)
            << " unknown: " << (hasPassed ? "passed" : "FAILED") << '\n';
  if (hasPassed) {
    site.MarkPassed();
  }
  return hasPassed;
}

/** Stops, starts, reloads and configures hosts while callers use connections
 * that they keep open. Every request that a host has read must be answered, and
 * every accepted job must be shown and completed. With aHasPauses, hosts are
 * also suspended, and each must answer once it goes on. */
bool
SoakPlannedWork(unsigned aSeed,
                std::chrono::seconds aLength,
                int aThreads,
                bool aHasPauses)
{
  constexpr int kPlannedHosts = 6;
  constexpr int kOpenCallers = 16;
  constexpr int kStallingCallers = 4;
  constexpr Milliseconds kStoreDelay{ 3 };
  SiteDeployment site(
    kPlannedHosts, kWorkers, "threads: " + std::to_string(aThreads) + "\n");
  for (std::size_t host = 0; host < site.Hosts(); ++host) {
    if (!site.WaitUntilReady(host)) {
      std::cerr << "host" << host << " does not become ready\n";
      return false;
    }
  }
  for (std::size_t host = 0; host < site.Hosts(); ++host) {
    site.StoreLink(host).SetDelay(kStoreDelay);
  }
  HostPauses pauses(site.Hosts());
  OpenCallers callers(site, pauses, kOpenCallers, aSeed);
  // A suspended host can't end a stalled connection in time.
  StallingCallers stallingCallers(
    site, aHasPauses ? 0 : kStallingCallers, aSeed);
  PlannedWork work(site, pauses, aHasPauses, aSeed);
  work.Run(Clock::now() + aLength);
  callers.Stop();
  stallingCallers.Stop();
  std::vector<std::string> violations = callers.Violations();
  const std::vector<std::string> stallingViolations =
    stallingCallers.Violations();
  violations.insert(
    violations.end(), stallingViolations.begin(), stallingViolations.end());
  violations.insert(
    violations.end(), work.Violations().begin(), work.Violations().end());
  const std::vector<SoakJob> jobs = callers.AcceptedJobs();
  const bool isSettled = SoakCheck(site, jobs).Holds();
  for (const std::string& violation : violations) {
    std::cerr << "violation: " << violation << '\n';
  }
  const bool hasPassed = isSettled && violations.empty();
  std::cerr << "planned work, seed " << aSeed << ": " << work.Stops()
            << " stops, " << work.Pauses() << " pauses, " << callers.Calls()
            << " calls, " << callers.Unanswered() << " without an answer, "
            << stallingCallers.Connections() << " stalling connections, "
            << jobs.size() << " jobs accepted and not cancelled: "
            << (hasPassed ? "passed" : "FAILED") << '\n';
  if (hasPassed) {
    site.MarkPassed();
  }
  return hasPassed;
}

}

}

int
main(int aCount, const char** aArguments)
{
  using namespace sardinecourse;
  int seed = 1;
  int seconds = 12;
  int threads = 1;
  int isPlanned = 0;
  int hasPauses = 0;
  const poptOption options[] = {
    { "seed", 's', POPT_ARG_INT, &seed, 0, "Seed of the faults", "N" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "Time with faults", "S" },
    { "planned",
      0,
      POPT_ARG_NONE,
      &isPlanned,
      0,
      "Planned work only, with callers on open connections",
      nullptr },
    { "pauses",
      0,
      POPT_ARG_NONE,
      &hasPauses,
      0,
      "With --planned, also suspends hosts for 0.2 to 5 s",
      nullptr },
    { "threads",
      't',
      POPT_ARG_INT,
      &threads,
      0,
      "Threads of each host that serve callers",
      "N" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("domain_soak", aCount, aArguments, options, 0);
  const int parsed = poptGetNextOpt(context);
  poptFreeContext(context);
  if (parsed < -1) {
    std::cerr << "domain_soak: " << poptStrerror(parsed) << '\n';
    return 64;
  }
  const std::chrono::seconds length(seconds);
  harness::KillProcessesOnSignals(length + harness::kMaxExtraTime);
  const RcuThread rcuThread;
  const bool hasPassed =
    isPlanned != 0
      ? harness::SoakPlannedWork(
          static_cast<unsigned>(seed), length, threads, hasPauses != 0)
      : harness::Soak(static_cast<unsigned>(seed), length, threads);
  return hasPassed ? 0 : 1;
}
