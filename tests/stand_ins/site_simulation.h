#pragma once

#include "tests/stand_ins/site_worker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Properties of one step against which the starts of its tasks are checked. */
struct SiteStep
{
  std::int32_t count = 1;
  bool isGang = false;
  /** The tasks have to run until their job is cancelled, however they end. */
  bool isEndless = false;
  std::int64_t milliCores = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;
  /** Run time, in milliseconds. */
  std::int64_t workMs = 1000;
  std::int32_t maxAttempts = 3;
  /** Every run of the step ends as failed. */
  bool fails = false;
  /** Number of runs of each unit that end as failed before one ends as done. */
  std::int32_t failures = 0;
  /** Every member of a gang's failed run ends as failed; otherwise one does,
   * and the others end as broken. */
  bool failsOnAllMembers = false;
  /** Share of the other runs that end as failed. */
  double failureShare = 0.0;
  /** Run time of each task, in milliseconds; when empty, each takes workMs. */
  std::vector<std::int64_t> taskWorkMs;
  /** Tasks on more than one rack are slowed down by kRemoteSlowdown. */
  bool prefersOneRack = false;
  /** Tasks on other racks are slowed down by kRemoteSlowdown; empty for none.
   */
  std::string dataRack;
};

/**
 * Simulates all workers of a site and checks the scheduler's invariants at each
 * start. Recorded as violations: a task that runs twice at the same time,
 * starts after its end was acknowledged, after its last attempt, after its job
 * was forbidden or in an evacuated data centre, and a worker over its capacity.
 * Steps are named "JOB.OCCURRENCE.STEP".
 */
class SiteSimulation
{
public:
  /** Time from the first member's start in which a gang must be complete. */
  static constexpr std::int64_t kMaxIncompleteMs = 3000;

  static constexpr double kRemoteSlowdown = 3.0;

  /** Simulated time. The clock of a worker counts from its start; orders carry
   * times on that clock. */
  std::int64_t nowMs = 0;
  std::map<std::string, SiteWorker> workers;
  std::map<std::string, SiteStep> steps;

  /** Starts a run on a worker and checks the invariants; aUntilMs is on the
   * worker's clock. */
  SiteAnswer Start(const std::string& aWorker,
                   const std::string& aTask,
                   std::int64_t aRun,
                   std::int64_t aUntilMs,
                   std::int64_t aToken);
  /** Extends a worker's lease, until aUntilMs on its clock, and counts the ends
   * that are acknowledged. */
  SiteAnswer Hold(const std::string& aWorker,
                  std::int64_t aUntilMs,
                  std::int64_t aAcknowledged,
                  std::int64_t aToken);
  /** Advances the simulated time and ends what is due. */
  void Advance(std::int64_t aMs);

  /** The worker's process ends: everything that it runs and lists is gone. */
  void End(const std::string& aWorker);

  /** Whether a run of the unit (a gang's step or a task) has ended done. */
  bool HasDone(const std::string& aUnit) const
  {
    return this->endedDone.contains(aUnit);
  }
  /** Whether an end as done was acknowledged. */
  bool HasAcknowledgedDone(const std::string& aUnit) const
  {
    return this->acknowledgedDone.contains(aUnit);
  }
  /** Whether as many runs of the unit as its attempts have ended failed. */
  bool HasFailed(const std::string& aUnit, const SiteStep& aStep) const;
  /** The task's step; the default step when it is not known. */
  const SiteStep& StepOf(const std::string& aTask) const;
  /** Names of a step's units. */
  static std::vector<std::string> UnitsOf(const std::string& aStepName,
                                          const SiteStep& aStep);

  std::int64_t Starts() const { return this->starts; }
  const std::vector<std::string>& Violations() const
  {
    return this->violations;
  }
  /** Records any start in the data centre later than aMs from now as a
   * violation, until it is taken back. A repeated call changes nothing. */
  void Evacuate(const std::string& aDataCentre, std::int64_t aMs)
  {
    this->closedFromMs.try_emplace(aDataCentre, this->nowMs + aMs);
  }
  void TakeBack(const std::string& aDataCentre)
  {
    this->closedFromMs.erase(aDataCentre);
  }
  /** Records any later start of the job's tasks as a violation. */
  void Forbid(const std::string& aJob) { this->forbiddenJobs.insert(aJob); }

private:
  void CheckStart(const SiteWorker& aWorker, const std::string& aTask);
  void AddViolation(const std::string& aViolation,
                    const std::string& aTask,
                    const std::string& aWorker);
  void AdvanceGangs();
  /** Longest run time of the tasks of one unit where they run. */
  std::int64_t WorkMsOf(
    const SiteStep& aStep,
    const std::vector<std::pair<SiteWorker*, std::string>>& aLocations) const;
  void EndRun(SiteWorker& aWorker,
              const std::string& aTask,
              const std::string& aUnit,
              const std::string& aOutcome);
  std::set<std::string> acknowledgedDone;
  /** Numbers of the failed runs of each unit. */
  std::map<std::string, std::set<std::int64_t>> acknowledgedFailures;
  std::map<std::string, std::int32_t> failures;
  std::set<std::string> endedDone;
  std::map<std::string, std::int32_t> endedFailures;
  std::set<std::string> forbiddenJobs;
  /** Evacuated data centres, with the time from which nothing may start. */
  std::map<std::string, std::int64_t> closedFromMs;
  std::vector<std::string> violations;
  std::int64_t starts = 0;
};

/** "JOB.OCCURRENCE.STEP" of "JOB.OCCURRENCE.STEP.INDEX". */
std::string
StepNameOf(const std::string& aTask);

}
