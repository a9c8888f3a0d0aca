#pragma once

#include "contracts/shape.h"
#include "zones/member_place.h"
#include "zones/worker_capacity.h"

#include <cstdint>
#include <vector>

namespace sardinecourse {

/** Number of members with aAccelerators each that the worker can take. */
std::int32_t
CountMembers(const WorkerCapacity& aCapacity, std::int32_t aAccelerators);

/**
 * Places every member of the gang on the workers of one rack; returns an empty
 * list when they do not all fit. Fills the fullest workers first, so that
 * others remain entirely free for large gangs. Reorders aCapacities.
 */
std::vector<MemberPlace>
FitGang(std::vector<WorkerCapacity>& aCapacities, Shape aShape);

}
