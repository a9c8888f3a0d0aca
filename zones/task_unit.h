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

/** Tasks that start and end together: a gang, or one independent task. Tracks
 * the unit through its runs. No run starts while a member of an earlier one may
 * still be running. */
class TaskUnit
{
public:
  TaskUnit(std::int32_t aOccurrence,
           std::int32_t aStep,
           std::int32_t aFirst,
           std::int32_t aCount,
           bool aCountsFailures);

  std::int32_t Occurrence() const { return this->occurrence; }
  std::int32_t Step() const { return this->step; }
  /** Index of the first task within the step. */
  std::int32_t First() const { return this->first; }
  std::int32_t Count() const { return this->count; }

  /** Number of the current or latest run; 0 before the first. */
  std::int64_t Run() const { return this->run; }
  const std::vector<MemberRun>& Members() const { return this->members; }
  const std::string& Checkpoint() const { return this->checkpoint; }
  /** Numbers of the runs that failed; each counts as one attempt. Empty for a
   * unit without a limit of attempts. */
  const std::set<std::int64_t>& FailedRuns() const { return this->failedRuns; }
  bool Done() const { return this->done; }
  /** Whether the unit was placed and is not done; its stored progress then
   * lists the latest run. */
  bool IsOpen() const { return this->run > 0 && !this->done; }
  /** Whether the unit has more state than its stored mark. */
  bool HasOpenWork() const;
  /** Whether any run of the unit was confirmed by a worker. */
  bool EverStarted() const { return this->everStarted; }
  /** Whether the latest run ended as failed. */
  bool HasFailed() const { return this->hasFailed; }
  /** Whether the run was given up; its members are being stopped. */
  bool Abandoned() const { return this->abandonedFor != StopCause::kNone; }
  /** Why the run was given up; kNone while it was not. */
  StopCause AbandonedFor() const { return this->abandonedFor; }
  /** Whether no member can be running. */
  bool Idle() const;
  /** Whether every member is confirmed to run. */
  bool AllRunning() const;
  Instant StartedAt() const { return this->startedAt; }
  /** Whether an earlier holder started the run; StartedAt() is then the time at
   * which this holder loaded the job. */
  bool IsInherited() const { return this->isInherited; }
  /** When all members were first confirmed to run; empty before. */
  const std::optional<Instant>& AllRunningSince() const
  {
    return this->allRunningSince;
  }
  /** Whether the run is outside the rack that it prefers, and so runs slower.
   */
  bool IsRemote() const { return this->isRemote; }
  void SetRemote(bool aIsRemote) { this->isRemote = aIsRemote; }
  /** Whether the run resumed from a checkpoint. */
  bool IsResumed() const { return this->isResumed; }
  /** When the last search for runs to preempt in its favour was made. */
  const std::optional<Instant>& ReclaimTried() const
  {
    return this->reclaimTried;
  }
  void NoteReclaimTried(Instant aNow) { this->reclaimTried = aNow; }
  /** Since when the unit has waited although its service had ample room; empty
   * while it had not. */
  const std::optional<Instant>& AmpleRoomSince() const
  {
    return this->ampleRoomSince;
  }
  /** Records whether there is ample room for the unit now. */
  void NoteAmpleRoom(bool aHasRoom, Instant aNow)
  {
    this->ampleRoomSince =
      aHasRoom ? std::optional(this->ampleRoomSince.value_or(aNow))
               : std::nullopt;
  }
  /** Lowest progress that any member has reported, in percent. */
  std::int32_t Percent() const;
  /** When the reported progress of a member last changed. */
  Instant LastProgress() const { return this->lastProgress; }

  /** Restores the stored state of the unit. */
  void Restore(char aMark, std::set<std::int64_t> aFailedRuns);
  /** Restores a run that an earlier holder started. Its members count as
   * running until the reports of their workers show otherwise. */
  void Inherit(const UnitPlacement& aPlacement, Instant aNow);
  /** The mark that is stored for the unit; see JobProgress. */
  char StoredMark() const;

  void StartRun(std::int64_t aRun,
                std::vector<MemberRun> aMembers,
                Instant aNow);
  /** Gives the run up; the first cause is kept. */
  void Abandon(StopCause aCause)
  {
    this->abandonedFor = this->Abandoned() ? this->abandonedFor : aCause;
  }

  /** Records that a worker confirmed a run: it accepted the start, listed the
   * run or reported its end. */
  void MarkEverStarted() { this->everStarted = true; }
  /** Records that a member is confirmed to run. */
  void MarkRunning(MemberRun& aMember, Instant aNow);
  MemberRun* Find(std::int32_t aIndex, std::int64_t aRun);
  void UpdateProgress(MemberRun& aMember,
                      std::int32_t aPercent,
                      const std::string& aSaved,
                      Instant aNow);
  /** Records the end of a run; returns whether the stored progress changes by
   * it. */
  bool RecordEnd(std::int64_t aRun,
                 RunOutcome aOutcome,
                 const std::string& aSaved);

private:
  void SaveCheckpoint(const std::string& aSaved);

  std::int32_t occurrence;
  std::int32_t step;
  std::int32_t first;
  std::int32_t count;
  bool countsFailures;
  std::int64_t run = 0;
  std::vector<MemberRun> members;
  std::string checkpoint;
  std::set<std::int64_t> failedRuns;
  bool done = false;
  bool everStarted = false;
  bool hasFailed = false;
  StopCause abandonedFor = StopCause::kNone;
  Instant startedAt{};
  Instant lastProgress{};
  std::optional<Instant> allRunningSince;
  bool isRemote = false;
  bool isResumed = false;
  bool isInherited = false;
  std::optional<Instant> reclaimTried;
  std::optional<Instant> ampleRoomSince;
};

}
