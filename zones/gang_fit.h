#pragma once

#include "contracts/shape.h"
#include "zones/member_place.h"
#include "zones/worker_capacity.h"

#include <cstdint>
#include <vector>

namespace sardinecourse {

/** Members of a gang, each with aAccelerators, that the worker can take. */
std::int32_t
CountMembers(const WorkerCapacity& aRoom, std::int32_t aAccelerators);

/**
 * Places for every member of the gang in one rack, or none. The fullest workers
 * are used up first, so that others stay whole for large gangs. aRooms is
 * reordered.
 */
std::vector<MemberPlace>
FitGang(std::vector<WorkerCapacity>& aRooms, Shape aShape);

}
