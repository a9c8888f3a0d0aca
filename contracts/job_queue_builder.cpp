#include "contracts/job_queue_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

JobQueueBuilder&
JobQueueBuilder::Name(QueueName aName)
{
  this->value.name = std::move(aName);
  return *this;
}

JobQueueBuilder&
JobQueueBuilder::Authority(std::string aAuthority)
{
  this->value.authority = std::move(aAuthority);
  return *this;
}

JobQueueBuilder&
JobQueueBuilder::PathPrefix(std::string aPathPrefix)
{
  this->value.pathPrefix = std::move(aPathPrefix);
  return *this;
}

JobQueueBuilder&
JobQueueBuilder::Service(ServiceName aService)
{
  this->value.service = std::move(aService);
  return *this;
}

JobQueueBuilder&
JobQueueBuilder::Priority(std::int32_t aPriority)
{
  this->value.priority = aPriority;
  return *this;
}

JobQueueBuilder&
JobQueueBuilder::MaxAttempts(std::int32_t aMaxAttempts)
{
  this->value.maxAttempts = aMaxAttempts;
  return *this;
}

JobQueueBuilder&
JobQueueBuilder::IsPublic(bool aIsPublic)
{
  this->value.isPublic = aIsPublic;
  return *this;
}

JobQueueBuilder&
JobQueueBuilder::Stretch(double aStretch)
{
  this->value.stretch = aStretch;
  return *this;
}

JobQueueBuilder&
JobQueueBuilder::Allowance(Milliseconds aAllowance)
{
  this->value.allowance = aAllowance;
  return *this;
}

std::optional<JobQueue>
JobQueueBuilder::Build(Reason& aReason) const
{
  if (this->value.name.Empty()) {
    aReason = Reason(Step::kDecode, "", "a queue needs a name");
    return std::nullopt;
  }
  if (this->value.service.Empty()) {
    aReason =
      Reason(Step::kDecode, this->value.name.Text(), "a queue needs a service");
    return std::nullopt;
  }
  if (this->value.pathPrefix.empty()) {
    aReason = Reason(
      Step::kDecode, this->value.name.Text(), "a queue needs a path prefix");
    return std::nullopt;
  }
  if (this->value.maxAttempts < 1) {
    aReason = Reason(Step::kDecode,
                     this->value.name.Text(),
                     "a task needs at least one attempt");
    return std::nullopt;
  }
  return this->value;
}

}
