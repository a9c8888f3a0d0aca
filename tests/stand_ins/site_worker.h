#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinecourse {

/** A run on a worker of the site stand-in. */
struct SiteRun
{
  std::int64_t run = 0;
  std::int64_t startedMs = 0;
  /** When all members of its gang were running; 0 before. */
  std::int64_t completeMs = 0;
  /** Time from completeMs to the end of the work; 0 when not known yet. */
  std::int64_t workMs = 0;
  /** When an ordered stop takes effect; 0 without one. */
  std::int64_t stopAtMs = 0;

  /** Share of the work that is done, in percent. */
  std::int64_t PercentAt(std::int64_t aNowMs) const
  {
    constexpr std::int64_t kAll = 100;
    return this->completeMs == 0 || this->workMs == 0
             ? 0
             : std::min(kAll - 1,
                        kAll * (aNowMs - this->completeMs) / this->workMs);
  }
};

/** End of a run, which the worker reports until it is acknowledged. */
struct SiteEnd
{
  std::int64_t number = 0;
  std::string task;
  std::int64_t run = 0;
  std::string outcome;
};

/** A worker's answer to an order: "ok", "fence", "old", "late" or "unhealthy".
 */
using SiteAnswer = std::string;

/**
 * One worker of the users' platform, after the platform's published protocol.
 * It checks only fencing tokens, run numbers and deadlines, not its capacity,
 * so that an oversubscription by the scheduler shows. Times are milliseconds of
 * the site's clock; see ClockAt().
 */
class SiteWorker
{
public:
  /** Longer leases are cut to this by default. */
  static constexpr std::int64_t kMaxLeaseMs = 6000;
  /** Max ends in one report. */
  static constexpr std::size_t kMaxListedEnds = 500;
  /** Default time from the order to stop until the run ends. */
  static constexpr std::int64_t kStopDelayMs = 200;

  std::string name;
  std::string rack;
  std::string dataCentre = "zone";
  std::string address;
  std::int64_t milliCores = 64'000;
  std::int64_t memoryMb = 131'072;
  std::int64_t accelerators = 8;
  /** Longer leases are cut to this. */
  std::int64_t maxLeaseMs = kMaxLeaseMs;
  std::int64_t stopDelayMs = kStopDelayMs;
  /** Multiplies the run times here. */
  double runTimeFactor = 1.0;
  bool isLeaving = false;
  /** Minimum time that a leaving worker still serves; 0 when not given. */
  std::int64_t remainingMs = 0;
  /** False while no host can reach the worker; its runs go on. */
  bool isReachable = true;
  /** Orders that arrive wait for the end of the cut, and so do answers. */
  bool isCutOff = false;
  /** An unhealthy worker refuses all starts. */
  bool isUnhealthy = false;
  std::int64_t refusedStarts = 0;
  /** Identifies this incarnation of the worker; a restart changes it. */
  std::int64_t incarnation = 1;
  /** Time of the site at which this incarnation started; its clock counts from
   * there. */
  std::int64_t startedMs = 0;

  /** A time of the site on this worker's clock, and the reverse. */
  std::int64_t ClockAt(std::int64_t aSiteMs) const
  {
    return aSiteMs - this->startedMs;
  }
  std::int64_t SiteTimeOf(std::int64_t aClockMs) const
  {
    return aClockMs + this->startedMs;
  }

  /** Starts a run and extends the lease. Answers "old" to a run that was
   * stopped, has ended or was replaced, and "late" after aUntilMs. */
  SiteAnswer Start(const std::string& aTask,
                   std::int64_t aRun,
                   std::int64_t aUntilMs,
                   std::int64_t aToken,
                   std::int64_t aNowMs);
  /** Orders a run to stop; it cannot start again even if it never ran here. */
  SiteAnswer Stop(const std::string& aTask,
                  std::int64_t aRun,
                  std::int64_t aToken,
                  std::int64_t aNowMs);
  /** Extends the lease and drops ends up to number aAcknowledged. */
  SiteAnswer Hold(std::int64_t aUntilMs,
                  std::int64_t aAcknowledged,
                  std::int64_t aToken,
                  std::int64_t aNowMs);

  /** Ends a task's run with an outcome; does nothing without a run. */
  void End(const std::string& aTask, const std::string& aOutcome);
  /** Ends runs whose stop is due, and all runs when the lease has expired. */
  void Advance(std::int64_t aNowMs);
  /** Clears all state, as a process that crashes and starts again. Its clock
   * starts anew at aNowMs. */
  void Restart(std::int64_t aIncarnation, std::int64_t aNowMs);

  std::map<std::string, SiteRun>& Runs() { return this->runs; }
  const std::map<std::string, SiteRun>& Runs() const { return this->runs; }
  const std::vector<SiteEnd>& Ends() const { return this->ends; }
  /** The ends in one report: the oldest that are not acknowledged. */
  std::vector<SiteEnd> ListedEnds() const;

private:
  /** Whether the token is older than the highest so far; keeps a newer one. */
  bool RejectsToken(std::int64_t aToken);
  void Extend(std::int64_t aUntilMs, std::int64_t aNowMs);

  std::int64_t token = 0;
  std::int64_t leaseUntilMs = 0;
  std::int64_t lastEndNumber = 0;
  std::map<std::string, SiteRun> runs;
  /** Highest run number of each task that was stopped or has ended here. */
  std::map<std::string, std::int64_t> highestPastRuns;
  std::vector<SiteEnd> ends;
};

}
