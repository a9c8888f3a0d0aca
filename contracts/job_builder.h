#pragma once

#include "contracts/job.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a Job; Build() is empty, with the reason, when a field is missing or
 * out of range. */
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
