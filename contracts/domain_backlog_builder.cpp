#include "contracts/domain_backlog_builder.h"

#include "core/reason.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

DomainBacklogBuilder&
DomainBacklogBuilder::Waits(DomainBacklog::Waits aWaits)
{
  this->value.waits = std::move(aWaits);
  return *this;
}

DomainBacklogBuilder&
DomainBacklogBuilder::Number(std::int64_t aNumber)
{
  this->value.number = aNumber;
  return *this;
}

std::optional<DomainBacklog>
DomainBacklogBuilder::Build(Reason& aReason) const
{
  const bool isNegative =
    std::any_of(this->value.waits.begin(),
                this->value.waits.end(),
                [](const auto& aWait) { return aWait.second.count() < 0; });
  if (isNegative) {
    aReason = Reason(Step::kDecode, "", "a backlog must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
