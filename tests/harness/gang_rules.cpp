#include "tests/harness/gang_rules.h"

#include <algorithm>
#include <optional>
#include <set>

namespace sardinecourse::harness {

namespace {

using Attempt =
  std::tuple<std::string, std::string, std::int64_t, std::int64_t>;

struct Member
{
  bool held = false;
  std::optional<std::int64_t> releasedMs;
  std::optional<std::int64_t> endedMs;
  std::string end;
};

struct Gang
{
  std::int32_t memberCount = 0;
  std::map<std::int32_t, Member> members;
  bool released = false;

  bool Finished() const
  {
    return static_cast<std::int32_t>(this->members.size()) ==
             this->memberCount &&
           std::ranges::all_of(this->members, [](const auto& aEntry) {
             return aEntry.second.end == "finished";
           });
  }
};

bool
IsEnd(const std::string& aEvent)
{
  return aEvent == "finished" || aEvent == "failed" || aEvent == "stopped" ||
         aEvent == "lapsed" || aEvent == "lost";
}

std::string
DescribeTaskEvent(const TaskEvent& aEvent)
{
  return aEvent.team + "/" + aEvent.job + " " + aEvent.task + " on " +
         aEvent.worker + " at " + std::to_string(aEvent.atMs) + " ms";
}

/** Checks that at the first release all members were started and none had
 * ended. */
void
CheckRelease(const TaskEvent& aEvent,
             Gang& aGang,
             std::vector<std::string>& aViolations)
{
  if (aGang.released) {
    return;
  }
  aGang.released = true;
  for (std::int32_t index = 0; index < aGang.memberCount; ++index) {
    const auto found = aGang.members.find(index);
    if (found == aGang.members.end() || !found->second.held) {
      aViolations.push_back("released without member " + std::to_string(index) +
                            " held: " + DescribeTaskEvent(aEvent));
    } else if (found->second.endedMs) {
      aViolations.push_back("released after member " + std::to_string(index) +
                            " ended: " + DescribeTaskEvent(aEvent));
    }
  }
}

void
CheckMembersEndTogether(const Attempt& aAttempt,
                        const Gang& aGang,
                        std::int64_t aLastMs,
                        Milliseconds aBound,
                        std::vector<std::string>& aViolations)
{
  std::optional<std::int64_t> firstMs;
  for (const auto& [index, member] : aGang.members) {
    if (member.endedMs && member.end != "finished") {
      firstMs = std::min(firstMs.value_or(*member.endedMs), *member.endedMs);
    }
  }
  for (const auto& [index, member] : aGang.members) {
    const std::int64_t endMs = member.endedMs.value_or(aLastMs);
    if (firstMs && member.releasedMs && endMs - *firstMs > aBound.count()) {
      aViolations.push_back(
        "part of " + std::get<0>(aAttempt) + "/" + std::get<1>(aAttempt) +
        ": member " + std::to_string(index) + " kept running for " +
        std::to_string(endMs - *firstMs) + " ms after another had ended");
    }
  }
}

}

std::vector<std::string>
CheckGangs(const std::vector<TaskEvent>& aEvents,
           const JobStates& aStates,
           Milliseconds aBound)
{
  std::vector<std::string> violations;
  std::map<Attempt, Gang> gangs;
  for (const TaskEvent& event : aEvents) {
    Gang& gang = gangs[event.Attempt()];
    gang.memberCount = event.members;
    if (event.event == "oversubscribed") {
      violations.push_back("oversubscribed: " + DescribeTaskEvent(event));
    } else if (event.event == "held") {
      gang.members[event.member].held = true;
    } else if (event.event == "released") {
      CheckRelease(event, gang, violations);
      gang.members[event.member].releasedMs = event.atMs;
    } else if (IsEnd(event.event) && !gang.members[event.member].endedMs) {
      gang.members[event.member].endedMs = event.atMs;
      gang.members[event.member].end = event.event;
    }
  }
  const std::int64_t lastMs = aEvents.empty() ? 0 : aEvents.back().atMs;
  std::map<std::string, int> finished;
  std::set<std::string> running;
  for (const auto& [attempt, gang] : gangs) {
    const std::string job = std::get<0>(attempt) + "/" + std::get<1>(attempt);
    CheckMembersEndTogether(attempt, gang, lastMs, aBound, violations);
    finished[job] += gang.Finished() ? 1 : 0;
    const bool isAlive = std::ranges::any_of(
      gang.members, [](const auto& aEntry) { return !aEntry.second.endedMs; });
    const auto state = aStates.find(job);
    if (isAlive && (state == aStates.end() || state->second != "running")) {
      violations.push_back(
        "a task still runs, but its job is not recorded as running: " + job);
    }
  }
  for (const auto& [job, state] : aStates) {
    const int count = finished[job];
    if (count > 1 || (state == "finished" && count != 1)) {
      violations.push_back("ran to its end " + std::to_string(count) +
                           " times: " + job + ", recorded as " + state);
    }
  }
  return violations;
}

}
