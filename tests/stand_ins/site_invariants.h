#pragma once

#include "tests/stand_ins/site_worker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

/** What the floor has to know of one step to judge its tasks. */
struct SiteStep
{
  std::int32_t count = 1;
  bool isGang = false;
  std::int64_t milliCores = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
  std::int64_t workMs = 1000;
  std::int32_t maxAttempts = 3;
  /** Every run of the step fails at its end. */
  bool fails = false;
};

/**
 * All workers of a site. It lets runs progress and end, gangs together, and
 * writes down each promise that a start breaks: a task that runs twice at the
 * same time or after its end was acknowledged, a worker over its room, a start
 * beyond the attempts. Steps are named "JOB.OCCURRENCE.STEP".
 */
class SiteInvariants
{
public:
  static constexpr std::int64_t kAloneMs = 3000;

  /** Time of the site, from which the workers' clocks run. */
  std::int64_t nowMs = 0;
  std::map<std::string, SiteWorker> workers;
  std::map<std::string, SiteStep> steps;

  SiteAnswer Start(const std::string& aWorker,
                   const std::string& aTask,
                   std::int64_t aRun,
                   std::int64_t aUntilMs,
                   std::int64_t aToken);
  SiteAnswer Hold(const std::string& aWorker,
                  std::int64_t aUntilMs,
                  std::int64_t aAcknowledged,
                  std::int64_t aToken);
  /** Lets time pass. */
  void Advance(std::int64_t aMs);

  std::int64_t Starts() const { return this->starts; }
  const std::vector<std::string>& Violations() const
  {
    return this->violations;
  }
  /** Notes that a job must not start any more. */
  void Forbid(const std::string& aJob) { this->forbidden.insert(aJob); }

private:
  void Judge(const SiteWorker& aWorker, const std::string& aTask);
  void Violate(const std::string& aWhat,
               const std::string& aTask,
               const std::string& aWorker);
  void AdvanceGangs();
  void EndStep(const std::string& aStep,
               std::int64_t aRun,
               const char* aOutcome);
  const SiteStep& StepOf(const std::string& aTask) const;

  std::set<std::string> acknowledgedDone;
  std::map<std::string, std::int32_t> acknowledgedFailures;
  std::set<std::string> forbidden;
  std::vector<std::string> violations;
  std::int64_t starts = 0;
};

/** "JOB.OCCURRENCE.STEP" of "JOB.OCCURRENCE.STEP.INDEX". */
std::string
StepNameOf(const std::string& aTask);

}
