#pragma once

#include "core/instant.h"

namespace sardinecourse {

class DomainState;

/** Gives up runs that cannot end before one of their workers leaves, and that
 * save nothing until then: the rest of the run's work would be lost, and the
 * unit can run elsewhere at once. */
void
GiveUpRunsOnLeavingWorkers(DomainState& aDomain, Instant aNow);

}
