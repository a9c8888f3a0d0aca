#pragma once

#include "contracts/admitted_job.h"
#include "contracts/job_progress.h"
#include "contracts/progress_limits.h"
#include "core/instant.h"
#include "zones/task_unit.h"
#include "zones/waits/wait_cause.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

class TaskAddress;

/** A job as its holder tracks it: the state of its units, and which version of
 * their progress is stored. Units are numbered in the order of occurrences,
 * steps and tasks. Only those with open work are objects, so that the memory of
 * a job follows its open work; the others have a mark. */
class TrackedJob
{
public:
  TrackedJob(AdmittedJob aJob, Instant aFirstSeen);

  const AdmittedJob& Job() const { return this->job; }
  const JobStep& StepOf(const TaskUnit& aUnit) const;
  JobState State() const { return this->state; }
  bool Final() const { return IsFinal(this->state); }
  /** When this holder first loaded the job. */
  Instant FirstSeen() const { return this->firstSeen; }
  /** When the state became final. */
  Instant FinalSince() const { return this->finalSince; }

  /** Number of units in all occurrences. */
  std::int32_t UnitCount() const;
  /** Number of units in one occurrence. */
  std::int32_t UnitsPerOccurrence() const { return this->unitsPerOccurrence; }
  /** Number of the first unit of a step in an occurrence. */
  std::int32_t FirstUnitOf(std::int32_t aOccurrence, std::int32_t aStep) const;
  std::int32_t NumberOf(const TaskUnit& aUnit) const;
  bool IsDone(std::int32_t aUnit) const;
  /** The first unit that is not done; UnitCount() when there is none. */
  std::int32_t FirstUnfinished() const { return this->firstUnfinished; }

  /** The units with open work, by number: those that were placed and are not
   * done, that may still run, or that have failed or wait for room. */
  std::map<std::int32_t, TaskUnit>& OpenUnits() { return this->openUnits; }
  const std::map<std::int32_t, TaskUnit>& OpenUnits() const
  {
    return this->openUnits;
  }
  /** The unit as an object, which is valid until it is released. */
  TaskUnit& Open(std::int32_t aUnit);
  /** Keeps only the mark of a unit that has no open work. */
  void Release(std::int32_t aUnit);
  /** Releases all units that have no open work. */
  void ReleaseUnits();
  /** Opens the unit that contains the task; null when the job has no such task.
   */
  TaskUnit* Find(const TaskAddress& aTask);

  /** Whether all steps that the step depends on are done in the occurrence. */
  bool AreDependenciesDone(std::int32_t aOccurrence, std::int32_t aStep) const;
  /** Whether a run of any unit was confirmed by a worker, to this holder or an
   * earlier one. */
  bool HasStarted() const;
  /** Number of tasks whose unit was placed and is not done. */
  std::int64_t OpenTasks() const;
  /** Whether no task of the job can be running. */
  bool Idle() const;
  /** Why the runs of the unit are stopped; kNone when they are not. */
  StopCause CauseToStop(const TaskUnit& aUnit) const;
  /** What the latest pass found to hold the waiting units of the job; empty
   * when all due ones were started. */
  const std::optional<WaitCause>& Wait() const { return this->wait; }
  void SetWait(std::optional<WaitCause> aCause)
  {
    this->wait = std::move(aCause);
  }

  void Restore(const JobProgress& aProgress);
  /** The progress to store, with at most aMaxCheckpointBytes of checkpoints. */
  JobProgress Progress(
    std::size_t aMaxCheckpointBytes = kMaxStoredCheckpointBytes) const;
  /** Records the end of a run of an open unit; returns whether the stored
   * progress changes by it. */
  bool RecordEnd(TaskUnit& aUnit,
                 std::int64_t aRun,
                 RunOutcome aOutcome,
                 const std::string& aSaved);
  /** Recomputes the state from the units; called after each start and end. */
  void UpdateState(Instant aNow);
  /** Makes a running job an admitted one again if no run was confirmed and none
   * can be running any more, since its starts were refused or lost. */
  void RevertUnstarted();
  void Cancel(Instant aNow);

  /** Records that the progress to store has changed. */
  void MarkDirty() { ++this->version; }
  std::int64_t Version() const { return this->version; }
  std::int64_t StoredVersion() const { return this->storedVersion; }
  bool Dirty() const { return this->storedVersion < this->version; }
  void MarkStored(std::int64_t aVersion, std::int64_t aRevision);
  /** Revision of the first row in which the progress is stored. */
  std::int64_t Revision() const { return this->revision; }
  /** Number of rows that may exist for the job's progress. */
  std::int32_t StoredRows() const { return this->storedRows; }
  void SetStoredRows(std::int32_t aRows) { this->storedRows = aRows; }

private:
  /** Index of the unit's step. */
  std::int32_t StepIndexOf(std::int32_t aUnit) const;
  TaskUnit MakeUnit(std::int32_t aUnit) const;
  char MarkOf(std::int32_t aUnit) const;
  void SetMark(std::int32_t aUnit, char aMark);
  /** Marks an open unit for its release; false if it has open work. */
  bool MarkForRelease(std::int32_t aUnit, const TaskUnit& aState);
  std::string Marks() const;
  void SetFinal(JobState aState, Instant aNow);

  AdmittedJob job;
  /** Position of the first unit of each step within one occurrence. */
  std::vector<std::int32_t> firstUnits;
  std::int32_t unitsPerOccurrence = 0;
  /** A mark for each unit up to the last one that was ever marked; see
   * JobProgress. An open unit may have a later state than its mark, except that
   * a done unit is marked at once. */
  std::string marks;
  std::map<std::int32_t, TaskUnit> openUnits;
  std::int32_t firstUnfinished = 0;
  std::optional<WaitCause> wait;
  JobState state = JobState::kAdmitted;
  Instant firstSeen;
  Instant finalSince{};
  std::int64_t version = 0;
  std::int64_t storedVersion = 0;
  std::int64_t revision = 0;
  std::int32_t storedRows = 1;
};

}
