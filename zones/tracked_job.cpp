#include "zones/tracked_job.h"

#include "contracts/job_progress_builder.h"
#include "contracts/task_address.h"
#include "core/reason.h"

#include <algorithm>
#include <numeric>
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
  const std::vector<JobStep>& steps = this->job.Plan().Steps();
  for (std::int32_t occurrence = 0; occurrence < this->job.Plan().Occurrences();
       ++occurrence) {
    for (std::int32_t step = 0; step < static_cast<std::int32_t>(steps.size());
         ++step) {
      const std::int32_t count = steps[step].Count();
      if (occurrence == 0) {
        this->firstUnits.push_back(
          static_cast<std::int32_t>(this->units.size()));
      }
      if (steps[step].IsGang()) {
        this->units.emplace_back(
          occurrence, step, 0, count, !steps[step].IsEndless());
        continue;
      }
      for (std::int32_t index = 0; index < count; ++index) {
        this->units.emplace_back(
          occurrence, step, index, 1, !steps[step].IsEndless());
      }
    }
    if (occurrence == 0) {
      this->unitsPerOccurrence = static_cast<std::int32_t>(this->units.size());
    }
  }
}

const JobStep&
TrackedJob::StepOf(const TaskUnit& aUnit) const
{
  return this->job.Plan().Steps()[aUnit.Step()];
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
  return &this->units[aTask.Occurrence() * this->unitsPerOccurrence +
                      this->firstUnits[aTask.Step()] + offset];
}

bool
TrackedJob::StepDone(std::int32_t aOccurrence, std::int32_t aStep) const
{
  const std::ptrdiff_t offset =
    static_cast<std::ptrdiff_t>(aOccurrence) * this->unitsPerOccurrence +
    this->firstUnits[aStep];
  const auto first = this->units.begin() + offset;
  const JobStep& step = this->job.Plan().Steps()[aStep];
  return std::all_of(first,
                     first + (step.IsGang() ? 1 : step.Count()),
                     [](const TaskUnit& aUnit) { return aUnit.Done(); });
}

bool
TrackedJob::AreDependenciesDone(const TaskUnit& aUnit) const
{
  const std::vector<std::int32_t>& dependencies = this->StepOf(aUnit).After();
  return std::all_of(dependencies.begin(),
                     dependencies.end(),
                     [this, &aUnit](std::int32_t aStep) {
                       return this->StepDone(aUnit.Occurrence(), aStep);
                     });
}

bool
TrackedJob::HasStarted() const
{
  return std::any_of(this->units.begin(),
                     this->units.end(),
                     [](const TaskUnit& aUnit) { return aUnit.EverStarted(); });
}

std::int64_t
TrackedJob::OpenTasks() const
{
  return std::accumulate(this->units.begin(),
                         this->units.end(),
                         std::int64_t{ 0 },
                         [](std::int64_t aTasks, const TaskUnit& aUnit) {
                           return aTasks + (aUnit.IsOpen() ? aUnit.Count() : 0);
                         });
}

bool
TrackedJob::Idle() const
{
  return std::all_of(this->units.begin(),
                     this->units.end(),
                     [](const TaskUnit& aUnit) { return aUnit.Idle(); });
}

void
TrackedJob::Restore(const JobProgress& aProgress)
{
  std::vector<std::set<std::int64_t>> failed(this->units.size());
  for (const FailedRun& run : aProgress.FailedRuns()) {
    if (run.unit >= 0 && run.unit < static_cast<std::int32_t>(failed.size())) {
      failed[run.unit].insert(run.run);
    }
  }
  for (std::size_t unit = 0; unit < this->units.size(); ++unit) {
    const char mark = unit < aProgress.Marks().size()
                        ? aProgress.Marks()[unit]
                        : JobProgress::kNeverStarted;
    this->units[unit].Restore(mark, std::move(failed[unit]));
  }
  for (const UnitPlacement& placement : aProgress.Placements()) {
    const bool exists =
      placement.unit >= 0 &&
      placement.unit < static_cast<std::int32_t>(this->units.size());
    if (exists && !this->units[placement.unit].Done()) {
      this->units[placement.unit].Inherit(placement, this->firstSeen);
    }
  }
  this->state = aProgress.State();
  this->storedRows = aProgress.Rows();
  // The time at which the job became final is not stored, so the retention time
  // starts anew.
  this->finalSince = this->firstSeen;
}

JobProgress
TrackedJob::Progress() const
{
  std::string marks;
  std::vector<FailedRun> failed;
  std::vector<UnitPlacement> placements;
  for (std::size_t unit = 0; unit < this->units.size(); ++unit) {
    marks.push_back(this->units[unit].StoredMark());
    for (const std::int64_t run : this->units[unit].FailedRuns()) {
      failed.push_back(FailedRun{ static_cast<std::int32_t>(unit), run });
    }
    if (this->units[unit].IsOpen()) {
      placements.push_back(
        PlacementOf(this->units[unit], static_cast<std::int32_t>(unit)));
    }
  }
  if (!this->HasStarted()) {
    marks.clear();
  }
  Reason ignored; // Only the queue is checked, and it is set.
  return JobProgressBuilder()
    .Queue(this->job.Queue())
    .Address(this->job.Address())
    .State(this->state)
    .Marks(std::move(marks))
    .FailedRuns(std::move(failed))
    .Placements(std::move(placements))
    .Build(ignored)
    .value_or(JobProgress());
}

void
TrackedJob::UpdateState(Instant aNow)
{
  if (this->Final()) {
    return;
  }
  const auto hasNoAttemptsLeft = [this](const TaskUnit& aUnit) {
    return !aUnit.Done() && !this->StepOf(aUnit).IsEndless() &&
           static_cast<std::int32_t>(aUnit.FailedRuns().size()) >=
             this->job.MaxAttempts();
  };
  const auto isDone = [](const TaskUnit& aUnit) { return aUnit.Done(); };
  if (std::any_of(this->units.begin(), this->units.end(), hasNoAttemptsLeft)) {
    this->SetFinal(JobState::kFailed, aNow);
  } else if (std::all_of(this->units.begin(), this->units.end(), isDone)) {
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
