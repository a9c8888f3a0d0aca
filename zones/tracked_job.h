#pragma once

#include "contracts/admitted_job.h"
#include "contracts/job_progress.h"
#include "core/instant.h"
#include "zones/task_unit.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

class TaskAddress;

/** A job as its holder tracks it: its units, and which version of their
 * progress is stored. */
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

  std::vector<TaskUnit>& Units() { return this->units; }
  const std::vector<TaskUnit>& Units() const { return this->units; }
  /** The unit that contains the task; null when the job has no such task. */
  TaskUnit* Find(const TaskAddress& aTask);
  /** Whether all steps that the unit's step depends on are done in its
   * occurrence. */
  bool AreDependenciesDone(const TaskUnit& aUnit) const;
  /** Whether a run of any unit was confirmed by a worker, to this holder or an
   * earlier one. */
  bool HasStarted() const;
  /** Number of tasks whose unit is open. */
  std::int64_t OpenTasks() const;
  /** Whether no task of the job can be running. */
  bool Idle() const;

  void Restore(const JobProgress& aProgress);
  JobProgress Progress() const;
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
  void SetFinal(JobState aState, Instant aNow);
  bool StepDone(std::int32_t aOccurrence, std::int32_t aStep) const;

  AdmittedJob job;
  std::vector<TaskUnit> units;
  /** Position of the first unit of each step within one occurrence. */
  std::vector<std::int32_t> firstUnits;
  std::int32_t unitsPerOccurrence = 0;
  JobState state = JobState::kAdmitted;
  Instant firstSeen;
  Instant finalSince{};
  std::int64_t version = 0;
  std::int64_t storedVersion = 0;
  std::int64_t revision = 0;
  std::int32_t storedRows = 1;
};

}
