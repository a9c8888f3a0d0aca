#include "zones/tracked_job.h"

#include "contracts/job_progress_builder.h"
#include "contracts/task_address.h"
#include "core/reason.h"
#include "zones/stored_checkpoints.h"

#include <algorithm>
#include <set>
#include <utility>

namespace sardinecourse {

namespace {

UnitPlacement
PlacementOf(const TaskUnit& aUnit, std::int32_t aIndex)
{
  UnitPlacement placement;
  placement.unit = aIndex;
  placement.run = aUnit.Run();
  placement.saved = aUnit.Checkpoint();
  if (!aUnit.Idle()) {
    for (const MemberRun& member : aUnit.Members()) {
      placement.workers.push_back(member.worker);
    }
  }
  return placement;
}

}

TrackedJob::TrackedJob(AdmittedJob aJob, Instant aFirstSeen)
  : job(std::move(aJob))
  , firstSeen(aFirstSeen)
{
  for (const JobStep& step : this->job.Plan().Steps()) {
    this->firstUnits.push_back(this->unitsPerOccurrence);
    this->unitsPerOccurrence += step.UnitCount();
  }
}

const JobStep&
TrackedJob::StepOf(const TaskUnit& aUnit) const
{
  return this->job.Plan().Steps()[aUnit.Step()];
}

StopCause
TrackedJob::CauseToStop(const TaskUnit& aUnit) const
{
  if (this->Final()) {
    return StopCause::kJobOver;
  }
  return aUnit.Done() ? StopCause::kUnitDone : aUnit.AbandonedFor();
}

std::int32_t
TrackedJob::UnitCount() const
{
  // The plan's builder bounds the product.
  return this->unitsPerOccurrence * this->job.Plan().Occurrences();
}

std::int32_t
TrackedJob::FirstUnitOf(std::int32_t aOccurrence, std::int32_t aStep) const
{
  return aOccurrence * this->unitsPerOccurrence + this->firstUnits[aStep];
}

std::int32_t
TrackedJob::NumberOf(const TaskUnit& aUnit) const
{
  return this->FirstUnitOf(aUnit.Occurrence(), aUnit.Step()) + aUnit.First();
}

char
TrackedJob::MarkOf(std::int32_t aUnit) const
{
  return aUnit < static_cast<std::int32_t>(this->marks.size())
           ? this->marks[aUnit]
           : JobProgress::kNeverStarted;
}

void
TrackedJob::SetMark(std::int32_t aUnit, char aMark)
{
  if (this->MarkOf(aUnit) == aMark) {
    return;
  }
  if (aUnit >= static_cast<std::int32_t>(this->marks.size())) {
    this->marks.resize(aUnit + 1, JobProgress::kNeverStarted);
  }
  this->marks[aUnit] = aMark;
  while (this->firstUnfinished < this->UnitCount() &&
         this->IsDone(this->firstUnfinished)) {
    ++this->firstUnfinished;
  }
}

bool
TrackedJob::IsDone(std::int32_t aUnit) const
{
  return this->MarkOf(aUnit) == JobProgress::kDone;
}

std::int32_t
TrackedJob::StepIndexOf(std::int32_t aUnit) const
{
  const auto next = std::upper_bound(this->firstUnits.begin(),
                                     this->firstUnits.end(),
                                     aUnit % this->unitsPerOccurrence);
  return static_cast<std::int32_t>(next - this->firstUnits.begin()) - 1;
}

TaskUnit
TrackedJob::MakeUnit(std::int32_t aUnit) const
{
  const std::int32_t position = aUnit % this->unitsPerOccurrence;
  const std::int32_t index = this->StepIndexOf(aUnit);
  const JobStep& step = this->job.Plan().Steps()[index];
  TaskUnit unit(aUnit / this->unitsPerOccurrence,
                index,
                step.IsGang() ? 0 : position - this->firstUnits[index],
                step.TasksPerUnit(),
                step.IsEndless());
  unit.Restore(this->MarkOf(aUnit), {});
  return unit;
}

TaskUnit&
TrackedJob::Open(std::int32_t aUnit)
{
  const auto found = this->openUnits.lower_bound(aUnit);
  if (found != this->openUnits.end() && found->first == aUnit) {
    return found->second;
  }
  return this->openUnits.emplace_hint(found, aUnit, this->MakeUnit(aUnit))
    ->second;
}

bool
TrackedJob::MarkForRelease(std::int32_t aUnit, const TaskUnit& aState)
{
  if (aState.HasOpenWork()) {
    return false;
  }
  this->SetMark(aUnit, aState.StoredMark());
  return true;
}

void
TrackedJob::Release(std::int32_t aUnit)
{
  const auto found = this->openUnits.find(aUnit);
  if (found != this->openUnits.end() &&
      this->MarkForRelease(aUnit, found->second)) {
    this->openUnits.erase(found);
  }
}

void
TrackedJob::ReleaseUnits()
{
  std::erase_if(this->openUnits, [this](const auto& aUnit) {
    return this->MarkForRelease(aUnit.first, aUnit.second);
  });
}

TaskUnit*
TrackedJob::Find(const TaskAddress& aTask)
{
  const std::vector<JobStep>& steps = this->job.Plan().Steps();
  const bool exists = aTask.Occurrence() < this->job.Plan().Occurrences() &&
                      aTask.Step() < static_cast<std::int32_t>(steps.size()) &&
                      aTask.Index() < steps[aTask.Step()].Count();
  if (!exists) {
    return nullptr;
  }
  const std::int32_t offset = steps[aTask.Step()].IsGang() ? 0 : aTask.Index();
  return &this->Open(this->FirstUnitOf(aTask.Occurrence(), aTask.Step()) +
                     offset);
}

bool
TrackedJob::AreDependenciesDone(std::int32_t aOccurrence,
                                std::int32_t aStep) const
{
  const std::vector<std::int32_t>& dependencies =
    this->job.Plan().Steps()[aStep].After();
  return std::all_of(
    dependencies.begin(),
    dependencies.end(),
    [this, aOccurrence](std::int32_t aDependency) {
      const std::int32_t first = this->FirstUnitOf(aOccurrence, aDependency);
      const std::int32_t end =
        first + this->job.Plan().Steps()[aDependency].UnitCount();
      std::int32_t unit = std::max(first, this->firstUnfinished);
      while (unit < end && this->IsDone(unit)) {
        ++unit;
      }
      return unit >= end;
    });
}

bool
TrackedJob::HasStarted() const
{
  // A mark is kept only from the first unit that started on.
  return !this->marks.empty() ||
         std::any_of(
           this->openUnits.begin(),
           this->openUnits.end(),
           [](const auto& aUnit) { return aUnit.second.EverStarted(); });
}

std::int64_t
TrackedJob::OpenTasks() const
{
  std::int64_t tasks = 0;
  for (const auto& [number, unit] : this->openUnits) {
    tasks += unit.IsOpen() ? unit.Count() : 0;
  }
  return tasks;
}

bool
TrackedJob::Idle() const
{
  return std::all_of(this->openUnits.begin(),
                     this->openUnits.end(),
                     [](const auto& aUnit) { return aUnit.second.Idle(); });
}

void
TrackedJob::Restore(const JobProgress& aProgress)
{
  const std::int32_t count = this->UnitCount();
  const auto markCount =
    std::min(static_cast<std::size_t>(count), aProgress.Marks().size());
  for (std::size_t position = 0; position < markCount; ++position) {
    const auto unit = static_cast<std::int32_t>(position);
    const char mark = aProgress.Marks()[position];
    // Earlier versions took an endless unit for done.
    const bool isRestarted =
      mark == JobProgress::kDone &&
      this->job.Plan().Steps()[this->StepIndexOf(unit)].IsEndless();
    this->SetMark(unit, isRestarted ? JobProgress::kStarted : mark);
  }
  const auto isUnfinished = [this, count](std::int32_t aUnit) {
    return aUnit >= 0 && aUnit < count && !this->IsDone(aUnit);
  };
  std::map<std::int32_t, std::set<std::int64_t>> failed;
  for (const FailedRun& run : aProgress.FailedRuns()) {
    if (isUnfinished(run.unit)) {
      failed[run.unit].insert(run.run);
    }
  }
  for (auto& [unit, runs] : failed) {
    this->Open(unit).Restore(this->MarkOf(unit), std::move(runs));
  }
  for (const UnitPlacement& placement : aProgress.Placements()) {
    if (isUnfinished(placement.unit)) {
      this->Open(placement.unit).Inherit(placement, this->firstSeen);
    }
  }
  this->state = aProgress.State();
  this->storedRows = aProgress.Rows();
  // The time at which the job became final is not stored, so the retention time
  // starts anew.
  this->finalSince = this->firstSeen;
}

/** Marks of all units up to the last one that was started. */
std::string
TrackedJob::Marks() const
{
  std::string current = this->marks;
  for (const auto& [number, unit] : this->openUnits) {
    const char mark = unit.StoredMark();
    if (mark == JobProgress::kNeverStarted) {
      continue;
    }
    if (number >= static_cast<std::int32_t>(current.size())) {
      current.resize(number + 1, JobProgress::kNeverStarted);
    }
    current[number] = mark;
  }
  return current;
}

JobProgress
TrackedJob::Progress(std::size_t aMaxCheckpointBytes) const
{
  std::vector<FailedRun> failed;
  std::vector<UnitPlacement> placements;
  for (const auto& [number, unit] : this->openUnits) {
    if (unit.Done()) {
      continue;
    }
    for (const std::int64_t run : unit.FailedRuns()) {
      failed.push_back(FailedRun{ number, run });
    }
    if (unit.IsOpen()) {
      placements.push_back(PlacementOf(unit, number));
    }
  }
  KeepCheckpointsWithin(placements, aMaxCheckpointBytes);
  Reason ignored; // Only the queue is checked, and it is set.
  return JobProgressBuilder()
    .Queue(this->job.Queue())
    .Address(this->job.Address())
    .State(this->state)
    .Marks(this->Marks())
    .FailedRuns(std::move(failed))
    .Placements(std::move(placements))
    .Build(ignored)
    .value_or(JobProgress());
}

bool
TrackedJob::RecordEnd(TaskUnit& aUnit,
                      std::int64_t aRun,
                      RunOutcome aOutcome,
                      const std::string& aSaved)
{
  const bool isChanged = aUnit.RecordEnd(aRun, aOutcome, aSaved);
  if (aUnit.Done()) {
    this->SetMark(this->NumberOf(aUnit), JobProgress::kDone);
  }
  return isChanged;
}

void
TrackedJob::UpdateState(Instant aNow)
{
  if (this->Final()) {
    return;
  }
  const auto hasNoAttemptsLeft = [this](const auto& aUnit) {
    const TaskUnit& unit = aUnit.second;
    return !unit.Done() && !this->StepOf(unit).IsEndless() &&
           static_cast<std::int32_t>(unit.FailedRuns().size()) >=
             this->job.MaxAttempts();
  };
  if (std::any_of(
        this->openUnits.begin(), this->openUnits.end(), hasNoAttemptsLeft)) {
    this->SetFinal(JobState::kFailed, aNow);
  } else if (this->firstUnfinished == this->UnitCount()) {
    this->SetFinal(JobState::kFinished, aNow);
  } else if (this->state == JobState::kAdmitted && !this->Idle()) {
    this->state = JobState::kRunning;
  }
}

void
TrackedJob::RevertUnstarted()
{
  if (this->state == JobState::kRunning && this->Idle() &&
      !this->HasStarted()) {
    this->state = JobState::kAdmitted;
    this->MarkDirty();
  }
}

void
TrackedJob::Cancel(Instant aNow)
{
  this->SetFinal(JobState::kCancelled, aNow);
  // The cancellation is stored already; there is no further progress to store.
  this->storedVersion = this->version;
}

void
TrackedJob::SetFinal(JobState aState, Instant aNow)
{
  this->state = aState;
  this->finalSince = aNow;
}

void
TrackedJob::MarkStored(std::int64_t aVersion, std::int64_t aRevision)
{
  this->storedVersion = std::max(this->storedVersion, aVersion);
  this->revision = std::max(this->revision, aRevision);
}

}
