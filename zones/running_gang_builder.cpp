#include "zones/running_gang_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

RunningGangBuilder&
RunningGangBuilder::Team(TeamName aTeam)
{
  this->value.team = std::move(aTeam);
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::Key(JobKey aKey)
{
  this->value.key = std::move(aKey);
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::Placement(GangPlacement aPlacement)
{
  this->value.placement = std::move(aPlacement);
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::GangShape(Shape aGangShape)
{
  this->value.gangShape = aGangShape;
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::CoresPerMember(std::int32_t aCoresPerMember)
{
  this->value.coresPerMember = aCoresPerMember;
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::MemoryPerMember(std::int32_t aMemoryPerMember)
{
  this->value.memoryPerMember = aMemoryPerMember;
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::Urgent(bool aUrgent)
{
  this->value.urgent = aUrgent;
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::Started(Instant aStarted)
{
  this->value.started = aStarted;
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::ExpectedRunTime(Milliseconds aExpectedRunTime)
{
  this->value.expectedRunTime = aExpectedRunTime;
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::LastCheckpoint(Instant aLastCheckpoint)
{
  this->value.lastCheckpoint = aLastCheckpoint;
  return *this;
}

RunningGangBuilder&
RunningGangBuilder::Stopping(bool aStopping)
{
  this->value.stopping = aStopping;
  return *this;
}

std::optional<RunningGang>
RunningGangBuilder::Build(Reason& aReason) const
{
  if (this->value.team.Empty()) {
    aReason = Reason(
      Step::kPlacement, this->value.key.Text(), "a running gang needs a team");
    return std::nullopt;
  }
  if (this->value.key.Empty()) {
    aReason = Reason(
      Step::kPlacement, this->value.key.Text(), "a running gang needs a key");
    return std::nullopt;
  }
  if (this->value.placement.Members().empty()) {
    aReason = Reason(Step::kPlacement,
                     this->value.key.Text(),
                     "a running gang needs a placement");
    return std::nullopt;
  }
  return this->value;
}

}
