#include "core/rcu_thread.h"
#include "tests/harness/process.h"
#include "tests/harness/site_deployment.h"
#include "tests/harness/wait.h"
#include "tests/soak/soak_callers.h"
#include "tests/soak/soak_faults.h"

#include <algorithm>
#include <iostream>
#include <popt.h>
#include <set>

namespace sardinecourse::harness {

namespace {

constexpr int kHosts = 4;
constexpr int kWorkers = 8;
/** From the end of the faults until every accepted job has ended: the longest
 * lease, a takeover and the work that is left. */
constexpr Milliseconds kSettleTime{ 60'000 };
/** A cancelled job is not started later than this after the answer. */
constexpr Milliseconds kCancelTime{ 3000 };
constexpr std::chrono::seconds kMaxBeyond{ 90 };

using Fate = SoakJob::Fate;

/** Checks what the callers were told against what the site shows. */
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
    this->AwaitEnds();
    for (const SoakJob& job : this->jobs) {
      this->CheckState(job);
    }
    const nlohmann::json report = this->site->Control("report", {});
    for (const auto& violation : report.at("violations")) {
      this->Fail(violation.get<std::string>());
    }
    if (!report.at("running").empty()) {
      this->Fail("still running: " + report.at("running").dump());
    }
    return this->isGood;
  }

private:
  /** A start of what was refused counts as a broken promise from here on; an
   * earlier one shows in the job's state. */
  void ForbidRefused() const
  {
    for (const SoakJob& job : this->jobs) {
      const bool isOver = job.fate == Fate::kCancelled &&
                          Clock::now() > job.settled + kCancelTime;
      if (job.fate == Fate::kRefused || isOver) {
        this->site->Control("forbid", { { "job", job.key } });
      }
    }
  }

  static bool IsOver(const std::string& aState)
  {
    return aState != "queued" && aState != "running" && !aState.empty();
  }

  /** The state that is shown of a job, "unknown" when there is none, and
   * nothing without an answer. */
  std::string Shown(const std::string& aKey) const
  {
    constexpr int kNoJob = 410;
    const std::string state = this->site->StateOf(0, aKey);
    const bool isUnknown =
      state.empty() &&
      this->site->Call(0, "GET", SiteDeployment::PathOf(aKey)) == kNoJob;
    return isUnknown ? "unknown" : state;
  }

  void AwaitEnds() const
  {
    std::set<std::string> open;
    for (const SoakJob& job : this->jobs) {
      if (job.fate == Fate::kAccepted || job.fate == Fate::kOpen) {
        open.insert(job.key);
      }
    }
    WaitUntil(kSettleTime, [this, &open] {
      std::erase_if(open, [this](const std::string& aKey) {
        return IsOver(this->Shown(aKey));
      });
      return open.empty();
    });
  }

  void CheckState(const SoakJob& aJob)
  {
    const std::string state = this->Shown(aJob.key);
    const bool isKnown = state != "unknown";
    const bool isDone = state == "completed";
    const bool isTrue =
      (aJob.fate == Fate::kAccepted && isDone) ||
      (aJob.fate == Fate::kCancelled && (isDone || state == "cancelled")) ||
      (aJob.fate == Fate::kRefused && !isKnown) ||
      (aJob.fate == Fate::kOpen &&
       (isDone || !isKnown || state == "cancelled"));
    if (!isTrue) {
      this->Fail(aJob.key + " is \"" + state +
                 "\", and its caller knows it as " +
                 std::to_string(static_cast<int>(aJob.fate)));
    }
  }

  void Fail(const std::string& aWhat)
  {
    std::cerr << "broken: " << aWhat << '\n';
    this->isGood = false;
  }

  SiteDeployment* site;
  std::vector<SoakJob> jobs;
  bool isGood = true;
};

std::size_t
CountOf(const std::vector<SoakJob>& aJobs, Fate aFate)
{
  return std::count_if(
    aJobs.begin(), aJobs.end(), [aFate](const SoakJob& aJob) {
      return aJob.fate == aFate;
    });
}

bool
Soak(unsigned aSeed, std::chrono::seconds aLength)
{
  SiteDeployment site(kHosts, kWorkers);
  for (std::size_t host = 0; host < site.Hosts(); ++host) {
    if (!site.WaitUntilReady(host)) {
      std::cerr << "host" << host << " does not become ready\n";
      return false;
    }
  }
  SoakCallers callers(site, aSeed);
  SoakFaults faults(site, aSeed);
  faults.Play(Clock::now() + aLength);
  faults.Heal();
  callers.Stop();
  bool isGood = true;
  for (std::size_t host = 0; host < site.Hosts(); ++host) {
    isGood = site.WaitUntilReady(host) && isGood;
  }
  const std::vector<SoakJob> jobs = callers.Jobs();
  isGood = SoakCheck(site, jobs).Holds() && isGood;
  std::cerr << "seed " << aSeed << ": " << jobs.size() << " jobs, "
            << CountOf(jobs, Fate::kAccepted) << " accepted, "
            << CountOf(jobs, Fate::kCancelled) << " cancelled, "
            << CountOf(jobs, Fate::kRefused) << " refused, "
            << CountOf(jobs, Fate::kOpen)
            << " not known: " << (isGood ? "passed" : "FAILED") << '\n';
  if (isGood) {
    site.Passed();
  }
  return isGood;
}

}

}

int
main(int aCount, const char** aArguments)
{
  using namespace sardinecourse;
  int seed = 1;
  int seconds = 12;
  const poptOption options[] = {
    { "seed", 's', POPT_ARG_INT, &seed, 0, "Seed of the faults", "N" },
    { "seconds", 0, POPT_ARG_INT, &seconds, 0, "Time with faults", "S" },
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
  harness::KillProcessesOnSignals(length + harness::kMaxBeyond);
  const RcuThread rcuThread;
  return harness::Soak(static_cast<unsigned>(seed), length) ? 0 : 1;
}
