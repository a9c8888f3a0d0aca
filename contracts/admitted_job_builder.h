#pragma once

#include "contracts/admitted_job.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds an AdmittedJob. Build() returns nullopt and sets aReason if the key
 * or the queue is missing. */
class AdmittedJobBuilder
{
public:
  AdmittedJobBuilder& Key(JobKey aKey);
  AdmittedJobBuilder& Queue(QueueName aQueue);
  AdmittedJobBuilder& Address(QueueAddress aAddress);
  AdmittedJobBuilder& Service(ServiceName aService);
  AdmittedJobBuilder& Team(TeamName aTeam);
  AdmittedJobBuilder& DataCentre(DataCentreName aDataCentre);
  AdmittedJobBuilder& Priority(std::int32_t aPriority);
  AdmittedJobBuilder& MaxAttempts(std::int32_t aMaxAttempts);
  AdmittedJobBuilder& Stretch(double aStretch);
  AdmittedJobBuilder& Allowance(Milliseconds aAllowance);
  AdmittedJobBuilder& Admitted(WallTime aAdmitted);
  AdmittedJobBuilder& Plan(JobPlan aPlan);
  std::optional<AdmittedJob> Build(Reason& aReason) const;

private:
  AdmittedJob value;
};

}
