#pragma once

#include "core/names.h"
#include "machines/task.h"
#include "zones/gang_phase.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace sardinecourse {

/** One attempt to run a gang, assembled from the workers' task lists. */
class GangStatus
{
public:
  GangStatus(std::vector<Task> aTasks, GangPhase aPhase)
    : tasks(std::move(aTasks))
    , phase(aPhase)
  {
  }

  const TeamName& Team() const { return this->tasks.front().Team(); }
  const JobKey& Key() const { return this->tasks.front().Key(); }
  std::int64_t Term() const { return this->tasks.front().Term(); }
  std::int64_t Sequence() const { return this->tasks.front().Sequence(); }
  /** The reported members, by member index; at least one. */
  const std::vector<Task>& Tasks() const { return this->tasks; }
  GangPhase Phase() const { return this->phase; }
  /** True while a member may still occupy accelerators. */
  bool Occupies() const;
  /** True when a member ended on its own with an error. */
  bool HasFailure() const;

  auto operator<=>(const GangStatus&) const = default;

private:
  std::vector<Task> tasks;
  GangPhase phase;
};

/** Groups tasks into attempts of gangs and determines the phase of each.
 * aUnreachable lists the workers that do not answer. */
std::vector<GangStatus>
AssessGangs(std::vector<Task> aTasks,
            const std::vector<WorkerName>& aUnreachable);

}
