#include "contracts/job_builder.h"

#include "core/reason.h"

#include <chrono>
#include <string>
#include <utility>

namespace sardinecourse {

namespace {

/** Expected ends are times on the host's clock, which must hold them. */
constexpr std::chrono::milliseconds kMaxRunTime = std::chrono::years(50);

}

JobBuilder&
JobBuilder::Team(TeamName aTeam)
{
  this->value.team = std::move(aTeam);
  return *this;
}

JobBuilder&
JobBuilder::Service(ServiceName aService)
{
  this->value.service = std::move(aService);
  return *this;
}

JobBuilder&
JobBuilder::Key(JobKey aKey)
{
  this->value.key = std::move(aKey);
  return *this;
}

JobBuilder&
JobBuilder::GangShape(Shape aGangShape)
{
  this->value.gangShape = aGangShape;
  return *this;
}

JobBuilder&
JobBuilder::CoresPerMember(std::int32_t aCoresPerMember)
{
  this->value.coresPerMember = aCoresPerMember;
  return *this;
}

JobBuilder&
JobBuilder::MemoryPerMember(std::int32_t aMemoryPerMember)
{
  this->value.memoryPerMember = aMemoryPerMember;
  return *this;
}

JobBuilder&
JobBuilder::DeclaredRunTime(std::chrono::milliseconds aDeclaredRunTime)
{
  this->value.declaredRunTime = aDeclaredRunTime;
  return *this;
}

JobBuilder&
JobBuilder::Urgent(bool aUrgent)
{
  this->value.urgent = aUrgent;
  return *this;
}

std::optional<Job>
JobBuilder::Build(Reason& aReason) const
{
  if (this->value.team.Empty()) {
    aReason =
      Reason(Step::kAdmission, this->value.key.Text(), "a job needs a team");
    return std::nullopt;
  }
  if (this->value.key.Empty()) {
    aReason =
      Reason(Step::kAdmission, this->value.key.Text(), "a job needs a key");
    return std::nullopt;
  }
  if (this->value.coresPerMember < 0) {
    aReason = Reason(
      Step::kAdmission, this->value.key.Text(), "cores must not be negative");
    return std::nullopt;
  }
  if (this->value.memoryPerMember < 0) {
    aReason = Reason(
      Step::kAdmission, this->value.key.Text(), "memory must not be negative");
    return std::nullopt;
  }
  if (this->value.declaredRunTime.count() < 0) {
    aReason = Reason(Step::kAdmission,
                     this->value.key.Text(),
                     "the declared run time must not be negative");
    return std::nullopt;
  }
  if (this->value.declaredRunTime > kMaxRunTime) {
    aReason = Reason(Step::kAdmission,
                     this->value.key.Text(),
                     "the declared run time must not exceed " +
                       std::to_string(kMaxRunTime.count()) + " ms");
    return std::nullopt;
  }
  return this->value;
}

}
