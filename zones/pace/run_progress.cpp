#include "zones/pace/run_progress.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** Reports are whole percents, so a shorter window gives a rate that is off by
 * more than estimates of run times are. */
constexpr std::int32_t kMinWindowPercent = 5;
/** Reports arrive within some tens of milliseconds of their clock's reading. */
constexpr std::int32_t kMinWindowMs = 300;
/** The window covers at least this much; it moves on after as much again. */
constexpr std::int32_t kKeptWindowPercent = 10;
constexpr std::int32_t kKeptWindowMs = 1500;
constexpr std::int32_t kFullPercent = 100;

}

RunProgress::RunProgress(std::int32_t aPercent, std::int64_t aClockMs)
  : anchor{ std::clamp(aPercent, 0, kFullPercent),
            static_cast<std::uint32_t>(aClockMs) }
  , nextAnchor(this->anchor)
  , latest(this->anchor)
{
}

std::int32_t
RunProgress::MillisecondsBetween(const Report& aFirst, const Report& aLast)
{
  return static_cast<std::int32_t>(aLast.clockMs - aFirst.clockMs);
}

RunProgress
RunProgress::With(std::int32_t aPercent, std::int64_t aClockMs) const
{
  const Report report{ aPercent, static_cast<std::uint32_t>(aClockMs) };
  // A member of a gang that has done its work waits for the others.
  if (aPercent >= kFullPercent ||
      MillisecondsBetween(this->latest, report) <= 0 ||
      report.percent < this->latest.percent) {
    return *this;
  }
  RunProgress next = *this;
  next.latest = report;
  const bool isNextWindowLong =
    report.percent - this->nextAnchor.percent >= kKeptWindowPercent &&
    MillisecondsBetween(this->nextAnchor, report) >= kKeptWindowMs;
  if (isNextWindowLong) {
    next.anchor = this->nextAnchor;
    next.nextAnchor = report;
  }
  return next;
}

std::optional<double>
RunProgress::Rate() const
{
  const std::int32_t percent = this->latest.percent - this->anchor.percent;
  const std::int32_t time = MillisecondsBetween(this->anchor, this->latest);
  if (percent < kMinWindowPercent || time < kMinWindowMs) {
    return std::nullopt;
  }
  return static_cast<double>(percent) / kFullPercent /
         static_cast<double>(time);
}

}
