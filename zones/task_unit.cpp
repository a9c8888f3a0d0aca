#include "zones/task_unit.h"

#include "contracts/job_progress.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::int32_t kFullPercent = 100;
/** Longer checkpoints are not kept, since the store limits the size of a row;
 * the next run then resumes from an earlier one. */
constexpr std::size_t kMaxCheckpointBytes = 1024;

}

TaskUnit::TaskUnit(std::int32_t aOccurrence,
                   std::int32_t aStep,
                   std::int32_t aFirst,
                   std::int32_t aCount,
                   bool aCountsFailures)
  : occurrence(aOccurrence)
  , step(aStep)
  , first(aFirst)
  , count(aCount)
  , countsFailures(aCountsFailures)
{
}

bool
TaskUnit::Idle() const
{
  return std::all_of(
    this->members.begin(), this->members.end(), [](const MemberRun& aMember) {
      return aMember.phase == MemberPhase::kGone;
    });
}

bool
TaskUnit::HasOpenWork() const
{
  const bool isWaiting = this->reclaimTried || this->ampleRoomSince;
  return !this->Idle() || (!this->done && (this->run > 0 || isWaiting ||
                                           !this->failedRuns.empty() ||
                                           !this->checkpoint.empty()));
}

bool
TaskUnit::AllRunning() const
{
  return !this->members.empty() &&
         std::all_of(this->members.begin(),
                     this->members.end(),
                     [](const MemberRun& aMember) {
                       return aMember.phase == MemberPhase::kRunning;
                     });
}

void
TaskUnit::Restore(char aMark, std::set<std::int64_t> aFailedRuns)
{
  this->done = aMark == JobProgress::kDone;
  this->everStarted = aMark != JobProgress::kNeverStarted;
  if (this->countsFailures) {
    this->failedRuns = std::move(aFailedRuns);
  }
}

void
TaskUnit::Inherit(const UnitPlacement& aPlacement, Instant aNow)
{
  this->run = aPlacement.run;
  this->checkpoint = aPlacement.saved;
  this->startedAt = aNow;
  this->isInherited = true;
  this->lastProgress = aNow;
  this->members.clear();
  for (const WorkerName& worker : aPlacement.workers) {
    MemberRun member;
    member.worker = worker;
    member.phase = MemberPhase::kRunning;
    member.startResolvedAt = aNow;
    this->members.push_back(std::move(member));
  }
}

char
TaskUnit::StoredMark() const
{
  if (this->done) {
    return JobProgress::kDone;
  }
  return this->everStarted ? JobProgress::kStarted : JobProgress::kNeverStarted;
}

void
TaskUnit::StartRun(std::int64_t aRun,
                   std::vector<MemberRun> aMembers,
                   Instant aNow)
{
  this->run = aRun;
  this->members = std::move(aMembers);
  this->abandonedFor = StopCause::kNone;
  this->hasFailed = false;
  this->startedAt = aNow;
  this->lastProgress = aNow;
  this->allRunningSince.reset();
  this->ampleRoomSince.reset();
  this->isRemote = false;
  this->isInherited = false;
  this->isResumed = !this->checkpoint.empty();
}

void
TaskUnit::MarkRunning(MemberRun& aMember, Instant aNow)
{
  aMember.phase = MemberPhase::kRunning;
  aMember.startResolvedAt = aNow;
  if (!this->allRunningSince && this->AllRunning()) {
    this->allRunningSince = aNow;
  }
}

std::int32_t
TaskUnit::Percent() const
{
  std::int32_t percent = kFullPercent;
  for (const MemberRun& member : this->members) {
    percent = std::min(percent, member.percent);
  }
  return percent;
}

MemberRun*
TaskUnit::Find(std::int32_t aIndex, std::int64_t aRun)
{
  const std::int32_t position = aIndex - this->first;
  const bool isCurrent =
    aRun == this->run && position >= 0 &&
    position < static_cast<std::int32_t>(this->members.size());
  return isCurrent ? &this->members[position] : nullptr;
}

void
TaskUnit::UpdateProgress(MemberRun& aMember,
                         std::int32_t aPercent,
                         const std::string& aSaved,
                         Instant aNow)
{
  if (aPercent != aMember.percent) {
    aMember.percent = aPercent;
    this->lastProgress = aNow;
  }
  this->SaveCheckpoint(aSaved);
}

void
TaskUnit::SaveCheckpoint(const std::string& aSaved)
{
  if (!aSaved.empty() && aSaved.size() <= kMaxCheckpointBytes) {
    this->checkpoint = aSaved;
  }
}

bool
TaskUnit::RecordEnd(std::int64_t aRun,
                    RunOutcome aOutcome,
                    const std::string& aSaved)
{
  if (aRun == this->run) {
    this->SaveCheckpoint(aSaved);
  }
  if (this->done) {
    return false;
  }
  if (aOutcome == RunOutcome::kDone) {
    this->done = true;
    return true;
  }
  if (aRun == this->run) {
    this->Abandon(StopCause::kMemberEnded);
    this->hasFailed = this->hasFailed || aOutcome == RunOutcome::kFailed;
  }
  // Several members of a gang may report the failure of their common run, which
  // counts once.
  return aOutcome == RunOutcome::kFailed && this->countsFailures &&
         this->failedRuns.insert(aRun).second;
}

}
