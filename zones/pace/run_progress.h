#pragma once

#include <compare>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/** The reported progress of one run, over a window that moves on with the run,
 * so that the rate follows a worker that changes its pace. Times are on the
 * worker's clock, in ms. */
class RunProgress
{
public:
  RunProgress() = default;
  RunProgress(std::int32_t aPercent, std::int64_t aClockMs);

  /** The progress with a further report. One that is older than the latest,
   * reports less or reports that the work is done changes nothing. */
  RunProgress With(std::int32_t aPercent, std::int64_t aClockMs) const;

  /** Share of the run's work that is done in a millisecond; empty while the
   * window is too short for the resolution of the reports. */
  std::optional<double> Rate() const;
  auto operator<=>(const RunProgress&) const = default;

private:
  struct Report
  {
    std::int32_t percent = 0;
    /** Only differences are used, so the clock may wrap around. */
    std::uint32_t clockMs = 0;

    auto operator<=>(const Report&) const = default;
  };

  static std::int32_t MillisecondsBetween(const Report& aFirst,
                                          const Report& aLast);

  /** Start of the window. */
  Report anchor;
  /** The window starts here once the run has moved on far enough from it. */
  Report nextAnchor;
  Report latest;
};

}
