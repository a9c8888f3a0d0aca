#include "contracts/admitted_job_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

AdmittedJobBuilder&
AdmittedJobBuilder::Key(JobKey aKey)
{
  this->value.key = std::move(aKey);
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Queue(QueueName aQueue)
{
  this->value.queue = std::move(aQueue);
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Address(QueueAddress aAddress)
{
  this->value.address = std::move(aAddress);
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Service(ServiceName aService)
{
  this->value.service = std::move(aService);
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Team(TeamName aTeam)
{
  this->value.team = std::move(aTeam);
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::DataCentre(DataCentreName aDataCentre)
{
  this->value.dataCentre = std::move(aDataCentre);
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Priority(std::int32_t aPriority)
{
  this->value.priority = aPriority;
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::MaxAttempts(std::int32_t aMaxAttempts)
{
  this->value.maxAttempts = aMaxAttempts;
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Stretch(double aStretch)
{
  this->value.stretch = aStretch;
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Allowance(Milliseconds aAllowance)
{
  this->value.allowance = aAllowance;
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Admitted(WallTime aAdmitted)
{
  this->value.admitted = aAdmitted;
  return *this;
}

AdmittedJobBuilder&
AdmittedJobBuilder::Plan(JobPlan aPlan)
{
  this->value.plan = std::move(aPlan);
  return *this;
}

std::optional<AdmittedJob>
AdmittedJobBuilder::Build(Reason& aReason) const
{
  if (this->value.key.Empty()) {
    aReason = Reason(Step::kDecode, "", "a job needs a key");
    return std::nullopt;
  }
  if (this->value.queue.Empty()) {
    aReason =
      Reason(Step::kDecode, this->value.key.Text(), "a job needs a queue");
    return std::nullopt;
  }
  return this->value;
}

}
