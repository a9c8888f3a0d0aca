#pragma once

#include "contracts/domain_backlog.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a DomainBacklog. Build() returns nullopt and sets aReason if a wait
 * is negative. */
class DomainBacklogBuilder
{
public:
  DomainBacklogBuilder& Waits(DomainBacklog::Waits aWaits);
  DomainBacklogBuilder& Number(std::int64_t aNumber);
  std::optional<DomainBacklog> Build(Reason& aReason) const;

private:
  DomainBacklog value;
};

}
