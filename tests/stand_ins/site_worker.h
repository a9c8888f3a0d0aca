#pragma once

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
  /** When the members of its gang were all there; 0 before. */
  std::int64_t wholeMs = 0;
  /** When a stop takes effect; 0 while none was ordered. */
  std::int64_t stopAtMs = 0;
};

/** An end that the worker lists until it is acknowledged. */
struct SiteEnd
{
  std::int64_t number = 0;
  std::string task;
  std::int64_t run = 0;
  std::string how;
};

/** How a worker answers an order: "ok", "fence", "old" or "late". */
using SiteAnswer = std::string;

/**
 * One worker of the users' platform, by the platform's published protocol. It
 * guards nothing but fences, run numbers and deadlines: what it is given runs,
 * whether it fits or not. Times are on the worker's own clock, from its start.
 */
class SiteWorker
{
public:
  static constexpr std::int64_t kLongestLeaseMs = 6000;
  static constexpr std::int64_t kStopMs = 200;

  std::string name;
  std::string rack;
  std::string address;
  std::int64_t milliCores = 64'000;
  std::int64_t memoryMb = 131'072;
  std::int64_t accelerators = 8;
  bool isLeaving = false;
  /** Identifies this life of the worker; a restart has another. */
  std::int64_t born = 1;

  SiteAnswer Start(const std::string& aTask,
                   std::int64_t aRun,
                   std::int64_t aUntilMs,
                   std::int64_t aToken,
                   std::int64_t aNowMs);
  SiteAnswer Stop(const std::string& aTask,
                  std::int64_t aRun,
                  std::int64_t aToken,
                  std::int64_t aNowMs);
  SiteAnswer Hold(std::int64_t aUntilMs,
                  std::int64_t aAcknowledged,
                  std::int64_t aToken,
                  std::int64_t aNowMs);

  /** Ends a run. */
  void End(const std::string& aTask, const std::string& aOutcome);
  /** Carries out stops and the lapse of the lease. */
  void Advance(std::int64_t aNowMs);
  /** Loses everything, as a process that crashes and starts again. */
  void Restart(std::int64_t aBorn);

  std::map<std::string, SiteRun>& Runs() { return this->runs; }
  const std::vector<SiteEnd>& Ends() const { return this->ends; }

private:
  bool Refuses(std::int64_t aToken);
  void Extend(std::int64_t aUntilMs, std::int64_t aNowMs);

  std::int64_t token = 0;
  std::int64_t leaseUntilMs = 0;
  std::int64_t lastEnd = 0;
  std::map<std::string, SiteRun> runs;
  /** Highest run of each task that was stopped or has ended here. */
  std::map<std::string, std::int64_t> past;
  std::vector<SiteEnd> ends;
};

}
