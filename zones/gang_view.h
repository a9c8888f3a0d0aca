#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <optional>

namespace sardinecourse {

class GangStatus;
class RunningGang;

/** A gang on its workers as placement sees it; empty when it has no members. */
std::optional<RunningGang>
ViewGang(const GangStatus& aGang, const RackName& aRack, Instant aStarted);

}
