#include "machines/task_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

TaskBuilder&
TaskBuilder::Name(TaskName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

TaskBuilder&
TaskBuilder::Team(TeamName aTeam)
{
  this->value.team = std::move(aTeam);
  return *this;
}

TaskBuilder&
TaskBuilder::Key(JobKey aKey)
{
  this->value.key = std::move(aKey);
  return *this;
}

TaskBuilder&
TaskBuilder::Term(std::int64_t aTerm)
{
  this->value.term = aTerm;
  return *this;
}

TaskBuilder&
TaskBuilder::Sequence(std::int64_t aSequence)
{
  this->value.sequence = aSequence;
  return *this;
}

TaskBuilder&
TaskBuilder::Member(std::int32_t aMember)
{
  this->value.member = aMember;
  return *this;
}

TaskBuilder&
TaskBuilder::Members(std::int32_t aMembers)
{
  this->value.members = aMembers;
  return *this;
}

TaskBuilder&
TaskBuilder::Range(AcceleratorRange aRange)
{
  this->value.range = std::move(aRange);
  return *this;
}

TaskBuilder&
TaskBuilder::Cores(std::int32_t aCores)
{
  this->value.cores = aCores;
  return *this;
}

TaskBuilder&
TaskBuilder::Memory(std::int32_t aMemory)
{
  this->value.memory = aMemory;
  return *this;
}

TaskBuilder&
TaskBuilder::Urgent(bool aUrgent)
{
  this->value.urgent = aUrgent;
  return *this;
}

TaskBuilder&
TaskBuilder::RunTime(Milliseconds aRunTime)
{
  this->value.runTime = aRunTime;
  return *this;
}

TaskBuilder&
TaskBuilder::Ran(Milliseconds aRan)
{
  this->value.ran = aRan;
  return *this;
}

TaskBuilder&
TaskBuilder::Saved(Milliseconds aSaved)
{
  this->value.saved = aSaved;
  return *this;
}

TaskBuilder&
TaskBuilder::Lease(Milliseconds aLease)
{
  this->value.lease = aLease;
  return *this;
}

TaskBuilder&
TaskBuilder::State(TaskState aState)
{
  this->value.state = aState;
  return *this;
}

std::optional<Task>
TaskBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason = Reason(Step::kDecode, "", "a task needs a name");
    return std::nullopt;
  }
  if (this->value.member < 0 || this->value.member >= this->value.members) {
    aReason = Reason(Step::kDecode,
                     this->value.name.Text(),
                     "the member index must be below the number of members");
    return std::nullopt;
  }
  return this->value;
}

}
