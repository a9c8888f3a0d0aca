#pragma once

#include "contracts/job.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Job. Build() returns nullopt and sets aReason if the team or the
 * key is missing, or the cores, memory or run time are negative. */
class JobBuilder
{
public:
  JobBuilder& Team(TeamName aTeam);
  JobBuilder& Service(ServiceName aService);
  JobBuilder& Key(JobKey aKey);
  JobBuilder& GangShape(Shape aGangShape);
  JobBuilder& CoresPerMember(std::int32_t aCoresPerMember);
  JobBuilder& MemoryPerMember(std::int32_t aMemoryPerMember);
  JobBuilder& DeclaredRunTime(std::chrono::milliseconds aDeclaredRunTime);
  JobBuilder& Urgent(bool aUrgent);
  std::optional<Job> Build(Reason& aReason) const;

private:
  Job value;
};

}
