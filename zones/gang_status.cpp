#include "zones/gang_status.h"

#include <algorithm>
#include <tuple>

namespace sardinecourse {

namespace {

auto
AttemptOf(const Task& aTask)
{
  return std::tuple(aTask.Team(), aTask.Key(), aTask.Term(), aTask.Sequence());
}

bool
IsComplete(const std::vector<Task>& aTasks,
           const std::vector<WorkerName>& aUnreachable)
{
  const auto isUsable = [&aUnreachable](const Task& aTask) {
    const TaskState state = aTask.State();
    const bool isActiveOrFinished = state == TaskState::kHeld ||
                                    state == TaskState::kRunning ||
                                    state == TaskState::kFinished;
    // A finished task no longer needs its worker to be reachable.
    return isActiveOrFinished &&
           (state == TaskState::kFinished ||
            std::ranges::find(aUnreachable, aTask.Range().Worker()) ==
              aUnreachable.end());
  };
  return static_cast<std::int32_t>(aTasks.size()) == aTasks.front().Members() &&
         std::ranges::all_of(aTasks, isUsable);
}

bool
HasTaskIn(const std::vector<Task>& aTasks, TaskState aState)
{
  return std::ranges::any_of(
    aTasks, [aState](const Task& aTask) { return aTask.State() == aState; });
}

GangPhase
PhaseOf(const std::vector<Task>& aTasks,
        const std::vector<WorkerName>& aUnreachable)
{
  if (!IsComplete(aTasks, aUnreachable)) {
    return GangPhase::kBroken;
  }
  if (HasTaskIn(aTasks, TaskState::kHeld)) {
    return GangPhase::kHeld;
  }
  return HasTaskIn(aTasks, TaskState::kRunning) ? GangPhase::kRunning
                                                : GangPhase::kFinished;
}

}

bool
GangStatus::Occupies() const
{
  return std::ranges::any_of(this->tasks, [](const Task& aTask) {
    return OccupiesAccelerators(aTask.State());
  });
}

bool
GangStatus::HasFailure() const
{
  return HasTaskIn(this->tasks, TaskState::kFailed);
}

std::vector<GangStatus>
AssessGangs(std::vector<Task> aTasks,
            const std::vector<WorkerName>& aUnreachable)
{
  std::ranges::sort(aTasks, {}, [](const Task& aTask) {
    return std::tuple_cat(AttemptOf(aTask), std::tuple(aTask.Member()));
  });
  std::vector<GangStatus> gangs;
  auto first = aTasks.begin();
  while (first != aTasks.end()) {
    const auto last =
      std::find_if(first, aTasks.end(), [&first](const Task& aTask) {
        return AttemptOf(aTask) != AttemptOf(*first);
      });
    std::vector<Task> members(first, last);
    const GangPhase phase = PhaseOf(members, aUnreachable);
    gangs.emplace_back(std::move(members), phase);
    first = last;
  }
  return gangs;
}

}
