#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <optional>

namespace sardinecourse {

class GangStatus;
class RunningGang;

/** Converts an attempt to the RunningGang that placement works with. aStarted
 * also counts as its last checkpoint. Empty when a field is invalid. */
std::optional<RunningGang>
MakeRunningGang(const GangStatus& aGang,
                const RackName& aRack,
                Instant aStarted);

}
