#pragma once

#include "machines/task.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Task. Build() returns nullopt and sets aReason when the name is
 * missing or the member index is out of range. */
class TaskBuilder
{
public:
  TaskBuilder& Name(TaskName aName);
  TaskBuilder& Team(TeamName aTeam);
  TaskBuilder& Key(JobKey aKey);
  TaskBuilder& Term(std::int64_t aTerm);
  TaskBuilder& Sequence(std::int64_t aSequence);
  TaskBuilder& Member(std::int32_t aMember);
  TaskBuilder& Members(std::int32_t aMembers);
  TaskBuilder& Range(AcceleratorRange aRange);
  TaskBuilder& Cores(std::int32_t aCores);
  TaskBuilder& Memory(std::int32_t aMemory);
  TaskBuilder& Urgent(bool aUrgent);
  TaskBuilder& RunTime(Milliseconds aRunTime);
  TaskBuilder& Ran(Milliseconds aRan);
  TaskBuilder& Saved(Milliseconds aSaved);
  TaskBuilder& Lease(Milliseconds aLease);
  TaskBuilder& State(TaskState aState);
  std::optional<Task> Build(Reason& aReason) const;

private:
  Task value;
};

}
