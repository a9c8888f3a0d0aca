#include "zones/pace/pace_history.h"

#include "zones/pace/measured_run.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sardinecourse {

namespace {

/** A worker whose runs took this much longer or shorter than their progress
 * promised, so many times more often than not, is judged by the ends alone. */
constexpr double kContradictionFactor = 2.0;
constexpr std::int32_t kMaxContradictions = 1;
constexpr std::int32_t kMostCountedContradictions = 4;
/** The reports of shorter runs are too few for a comparison. */
constexpr double kMinComparedMs = 1000.0;
/** No worker is that much faster or slower than its estimates, so a report
 * that says more counts as this. */
constexpr double kMaxLogRate = 3.0;
/** After this time a run counts half of one that is measured now, and never
 * less than the least weight: what runs now shows a change of pace, but may be
 * a single long task. */
constexpr double kHalfWeightSeconds = 30.0;
constexpr double kLeastWeight = 0.3;
/** Number of runs as which a stored pace counts. */
constexpr std::size_t kStoredRuns = 3;
/** A reported run that was not reported again for this time has ended. */
constexpr Milliseconds kMaxReportGap{ 5000 };

}

PaceHistory::Run*
PaceHistory::EntryOf(const MeasuredRun& aRun)
{
  const auto found =
    std::find_if(this->runs.begin(),
                 this->runs.end(),
                 [&aRun](const Run& aEntry) { return aEntry.run == aRun.run; });
  if (found != this->runs.end()) {
    return &*found;
  }
  Run* entry = nullptr;
  if (this->runs.size() < kMaxRuns) {
    entry = &this->runs.emplace_back();
  } else {
    const auto oldest =
      std::min_element(this->runs.begin(),
                       this->runs.end(),
                       [](const Run& aLeft, const Run& aRight) {
                         return std::pair(!aLeft.hasEnded, aLeft.updated) <
                                std::pair(!aRight.hasEnded, aRight.updated);
                       });
    const bool isMeasured =
      !oldest->hasEnded && this->updated < oldest->updated + kMaxReportGap;
    if (isMeasured) {
      return nullptr;
    }
    entry = &*oldest;
  }
  *entry = Run();
  entry->run = aRun.run;
  entry->step = aRun.step;
  entry->estimateMs = static_cast<float>(aRun.estimateMs);
  return entry;
}

void
PaceHistory::SetRate(Run& aEntry, double aRate, Instant aNow)
{
  const double logRate = std::log(aRate * aEntry.estimateMs);
  aEntry.logRate =
    static_cast<float>(std::clamp(logRate, -kMaxLogRate, kMaxLogRate));
  aEntry.updated = aNow;
}

void
PaceHistory::NoteProgress(const MeasuredRun& aRun,
                          std::int32_t aPercent,
                          std::int64_t aClockMs,
                          Instant aNow)
{
  this->updated = aNow;
  Run* entry = this->EntryOf(aRun);
  if (entry == nullptr || entry->hasEnded) {
    return;
  }
  const bool isNew = entry->updated == Instant();
  entry->progress = isNew ? RunProgress(aPercent, aClockMs)
                          : entry->progress.With(aPercent, aClockMs);
  entry->updated = aNow;
  const auto rate = entry->progress.Rate();
  if (rate && this->contradictions <= kMaxContradictions) {
    this->SetRate(*entry, *rate, aNow);
  }
}

void
PaceHistory::NoteDone(const MeasuredRun& aRun, double aRanMs, Instant aNow)
{
  this->updated = aNow;
  Run* entry = this->EntryOf(aRun);
  if (entry == nullptr || aRanMs <= 0.0) {
    return;
  }
  const auto reported = entry->progress.Rate();
  if (reported && aRanMs >= kMinComparedMs) {
    const bool contradicts =
      std::abs(std::log(*reported * aRanMs)) > std::log(kContradictionFactor);
    this->contradictions =
      std::clamp(this->contradictions + (contradicts ? 1 : -1),
                 0,
                 kMostCountedContradictions);
  }
  this->SetRate(*entry, 1.0 / aRanMs, aNow);
  entry->hasEnded = true;
}

void
PaceHistory::NoteStored(double aLogPace, Instant aNow)
{
  Run entry;
  entry.logRate = static_cast<float>(aLogPace);
  entry.updated = aNow;
  entry.hasEnded = true;
  this->runs.assign(kStoredRuns, entry);
  this->updated = std::max(this->updated, aNow);
}

double
PaceHistory::WeightOf(const Run& aRun) const
{
  const double age =
    std::chrono::duration<double>(this->updated - aRun.updated).count();
  return std::max(std::exp2(-age / kHalfWeightSeconds), kLeastWeight);
}

}
