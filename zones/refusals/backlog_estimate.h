#pragma once

#include "contracts/domain_backlog.h"
#include "core/instant.h"

namespace sardinecourse {

class DomainState;

/** Shortest time in which each service could finish the open jobs of each
 * priority and the more urgent ones, if its workers were always full. */
DomainBacklog::Waits
EstimateBacklog(const DomainState& aDomain, Instant aNow);

/** The waits that hosts need for their decisions: in coarse steps, so that they
 * change seldom, and without short ones. */
DomainBacklog::Waits
PublishedBacklog(const DomainBacklog::Waits& aWaits);

}
