#pragma once

#include "contracts/run_outcome.h"
#include "contracts/unit_placement.h"
#include "zones/member_run.h"
#include "zones/stop_cause.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

/**
 * Tasks that start and end together: a gang, or one task that is on its own. It
 * follows the unit through its runs. No run is begun while any member of an
 * earlier one may still be running.
 */
class TaskUnit
{
public:
  TaskUnit(std::int32_t aOccurrence,
           std::int32_t aStep,
           std::int32_t aFirst,
           std::int32_t aCount);

  std::int32_t Occurrence() const { return this->occurrence; }
  std::int32_t Step() const { return this->step; }
  /** Index within the step of the first task. */
  std::int32_t First() const { return this->first; }
  std::int32_t Count() const { return this->count; }

  /** The current or latest run; 0 before the first. */
  std::int64_t Run() const { return this->run; }
  const std::vector<MemberRun>& Members() const { return this->members; }
  const std::string& Checkpoint() const { return this->checkpoint; }
  /** Runs that ended as failed; each is an attempt. */
  const std::set<std::int64_t>& FailedRuns() const { return this->failedRuns; }
  bool Done() const { return this->done; }
  bool EverStarted() const { return this->everStarted; }
  /** True while the run is given up and its members are being stopped. */
  bool Abandoned() const { return this->abandonedFor != StopCause::kNone; }
  /** Why the run is given up. */
  StopCause AbandonedFor() const { return this->abandonedFor; }
  /** True when no member can be running. */
  bool Idle() const;
  /** True when every member is known to run. */
  bool AllRunning() const;
  Instant StartedAt() const { return this->began; }
  /** Whether an earlier holder began the run, so that Began() is not known. */
  bool IsInherited() const { return this->isInherited; }
  /** When all members were first known to run; empty before. */
  const std::optional<Instant>& AllRunningSince() const
  {
    return this->allRunningSince;
  }
  /** Whether the run misses the rack that it prefers, and so is slower. */
  bool IsRemote() const { return this->isRemote; }
  void SetRemote(bool aIsRemote) { this->isRemote = aIsRemote; }
  /** Whether the run resumed from a checkpoint. */
  bool IsResumed() const { return this->isResumed; }
  /** When it was last looked for runs to stop in its favour. */
  const std::optional<Instant>& ReclaimTried() const
  {
    return this->reclaimTried;
  }
  void NoteReclaimTried(Instant aNow) { this->reclaimTried = aNow; }
  /** Smallest share of the work that a member has shown, in percent. */
  std::int32_t Percent() const;
  /** When the work last moved on, as far as looks have shown. */
  Instant LastProgress() const { return this->lastProgress; }

  /** Takes over what was stored of the unit. */
  void Restore(char aMark, std::set<std::int64_t> aFailedRuns);
  /** Takes over a run that an earlier holder started: its members count as
   * running until their workers show otherwise. */
  void Inherit(const UnitPlacement& aPlacement, Instant aNow);
  /** What is to be stored of the unit. */
  char StoredMark() const;

  void StartRun(std::int64_t aRun,
                std::vector<MemberRun> aMembers,
                Instant aNow);
  /** Gives the run up; the first cause stands. */
  void Abandon(StopCause aCause)
  {
    this->abandonedFor = this->Abandoned() ? this->abandonedFor : aCause;
  }

  /** Notes that a member is known to run. */
  void MarkRunning(MemberRun& aMember, Instant aNow);
  MemberRun* Find(std::int32_t aIndex, std::int64_t aRun);
  void UpdateProgress(MemberRun& aMember,
                      std::int32_t aPercent,
                      const std::string& aSaved,
                      Instant aNow);
  /** Notes an end; true when that changed what is to be stored. */
  bool RecordEnd(std::int64_t aRun,
                 RunOutcome aOutcome,
                 const std::string& aSaved);

private:
  std::int32_t occurrence;
  std::int32_t step;
  std::int32_t first;
  std::int32_t count;
  std::int64_t run = 0;
  std::vector<MemberRun> members;
  std::string checkpoint;
  std::set<std::int64_t> failedRuns;
  bool done = false;
  bool everStarted = false;
  StopCause abandonedFor = StopCause::kNone;
  Instant began{};
  Instant lastProgress{};
  std::optional<Instant> allRunningSince;
  bool isRemote = false;
  bool isResumed = false;
  bool isInherited = false;
  std::optional<Instant> reclaimTried;
};

}
