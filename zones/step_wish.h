#pragma once

#include "zones/place_wish.h"

#include <cstdint>

namespace sardinecourse {

class JobStep;

/** What so many tasks of the step ask of their places; near ones are in the
 * rack of the data, or in one rack where the step prefers that. */
PlaceWish
WishFor(const JobStep& aStep, std::int32_t aCount, bool aIsNear);

}
