#pragma once

#include "zones/running_gang.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a RunningGang; Build() returns empty and sets aReason when the team,
 * the key or the placement is missing. */
class RunningGangBuilder
{
public:
  RunningGangBuilder& Team(TeamName aTeam);
  RunningGangBuilder& Key(JobKey aKey);
  RunningGangBuilder& Placement(GangPlacement aPlacement);
  RunningGangBuilder& GangShape(Shape aGangShape);
  RunningGangBuilder& CoresPerMember(std::int32_t aCoresPerMember);
  RunningGangBuilder& MemoryPerMember(std::int32_t aMemoryPerMember);
  RunningGangBuilder& Urgent(bool aUrgent);
  RunningGangBuilder& Started(Instant aStarted);
  RunningGangBuilder& ExpectedRunTime(Milliseconds aExpectedRunTime);
  RunningGangBuilder& LastCheckpoint(Instant aLastCheckpoint);
  RunningGangBuilder& Stopping(bool aStopping);
  std::optional<RunningGang> Build(Reason& aReason) const;

private:
  RunningGang value;
};

}
