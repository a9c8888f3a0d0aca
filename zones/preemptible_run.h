#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "machines/resources.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace sardinecourse {

/** A run whose resources a more urgent unit may get, because it is stopped or
 * ends by itself. */
struct PreemptibleRun
{
  /** Work lost if the run is stopped, in core-seconds. */
  double lostWork = 0.0;
  /** Resources that the end of the run frees, by worker; a worker may occur
   * several times. */
  std::vector<std::pair<WorkerName, Resources>> resources;
  /** Time until the run is expected to end by itself; the maximum when that is
   * not known. */
  Milliseconds timeLeft = Milliseconds::max();
  bool isStoppable = true;

  auto operator<=>(const PreemptibleRun&) const = default;
};

/** Work lost by stopping the chosen runs, in core-seconds. */
inline double
LostWorkOf(const std::vector<PreemptibleRun>& aRuns,
           const std::vector<std::size_t>& aChosen)
{
  double lostWork = 0.0;
  for (const std::size_t run : aChosen) {
    lostWork += aRuns[run].lostWork;
  }
  return lostWork;
}

}
