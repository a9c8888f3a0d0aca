#pragma once

#include "core/instant.h"

#include <optional>

namespace sardinecourse {

class TaskUnit;

/** Time until the unit's run ends by itself, as expected from its reported
 * progress; empty while too little is known of it. aObservedUntil is when all
 * of its workers had last reported. */
std::optional<Milliseconds>
ExpectedTimeLeft(const TaskUnit& aUnit, Instant aObservedUntil, Instant aNow);

}
