#include "zones/stops/run_forecast.h"

#include "zones/task_unit.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** Progress is reported in steps of 1%; below this share the expected time is
 * too inaccurate. */
constexpr std::int32_t kMinPercent = 10;
constexpr std::int32_t kFullPercent = 100;
/** A run that has exceeded its expected time by more than this share does not
 * move on as it did before. */
constexpr double kMaxExcess = 0.1;

}

std::optional<Milliseconds>
ExpectedTimeLeft(const TaskUnit& aUnit, Instant aObservedUntil, Instant aNow)
{
  // A resumed run reports progress that was made before it started.
  if (!aUnit.AllRunningSince() || aUnit.IsResumed() ||
      aUnit.Percent() < kMinPercent ||
      aObservedUntil <= *aUnit.AllRunningSince()) {
    return std::nullopt;
  }
  const std::chrono::duration<double, std::milli> observed =
    aObservedUntil - *aUnit.AllRunningSince();
  const std::chrono::duration<double, std::milli> ran =
    aNow - *aUnit.AllRunningSince();
  const double expected = observed.count() * kFullPercent / aUnit.Percent();
  if (ran.count() > expected * (1.0 + kMaxExcess)) {
    return std::nullopt;
  }
  return Milliseconds(
    static_cast<std::int64_t>(std::max(expected - ran.count(), 0.0)));
}

}
