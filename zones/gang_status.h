#pragma once

#include "core/names.h"
#include "machines/task.h"
#include "zones/gang_phase.h"

#include <compare>
#include <cstdint>
#include <utility>
#include <vector>

namespace sardinecourse {

/** One attempt to run a gang, as the workers' task lists show it. */
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
  /** The members seen, by member index; at least one. */
  const std::vector<Task>& Tasks() const { return this->tasks; }
  GangPhase Phase() const { return this->phase; }
  /** True while a member may use its accelerators. */
  bool Occupies() const;
  /** True when a member ended by itself with an error. */
  bool HasFailure() const;

  auto operator<=>(const GangStatus&) const = default;

private:
  std::vector<Task> tasks;
  GangPhase phase;
};

/** Groups tasks into the gangs that they are members of, and tells each gang's
 * phase. aSilent are the workers out of reach. */
std::vector<GangStatus>
AssessGangs(std::vector<Task> aTasks, const std::vector<WorkerName>& aSilent);

}
