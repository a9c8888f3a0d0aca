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

/** A job as its holder follows it: its units, and what of them is stored. */
class TrackedJob
{
public:
  TrackedJob(AdmittedJob aJob, Instant aSeen);

  const AdmittedJob& Job() const { return this->job; }
  const JobStep& StepOf(const TaskUnit& aUnit) const;
  JobState State() const { return this->state; }
  bool Final() const { return IsFinal(this->state); }
  /** When this holder first knew of it. */
  Instant FirstSeen() const { return this->seen; }
  /** When the state became final. */
  Instant FinalSince() const { return this->closed; }

  std::vector<TaskUnit>& Units() { return this->units; }
  const std::vector<TaskUnit>& Units() const { return this->units; }
  /** The unit that a task belongs to; null when the job has no such task. */
  TaskUnit* Find(const TaskAddress& aTask);
  /** Whether all steps before that of the unit are done, in its occurrence. */
  bool AreDependenciesDone(const TaskUnit& aUnit) const;
  /** True when any unit was started, by this holder or an earlier one. */
  bool HasStarted() const;
  /** True when no task of the job can be running. */
  bool Idle() const;

  void Restore(const JobProgress& aProgress);
  JobProgress Progress() const;
  /** Recomputes the state from the units; called after each end. */
  void UpdateState(Instant aNow);
  void Cancel(Instant aNow);

  /** Notes that what has to be stored changed. */
  void MarkDirty() { ++this->version; }
  std::int64_t Version() const { return this->version; }
  std::int64_t StoredVersion() const { return this->storedVersion; }
  bool Dirty() const { return this->storedVersion < this->version; }
  void Stored(std::int64_t aVersion, std::int64_t aRevision);
  /** Revision of the row that the progress is stored in. */
  std::int64_t Revision() const { return this->revision; }

private:
  void Close(JobState aState, Instant aNow);
  bool StepDone(std::int32_t aOccurrence, std::int32_t aStep) const;

  AdmittedJob job;
  std::vector<TaskUnit> units;
  /** First unit of each step within one occurrence, and their number. */
  std::vector<std::int32_t> firstUnits;
  std::int32_t unitsPerOccurrence = 0;
  JobState state = JobState::kAdmitted;
  Instant seen;
  Instant closed{};
  std::int64_t version = 0;
  std::int64_t storedVersion = 0;
  std::int64_t revision = 0;
};

}
