#pragma once

#include "contracts/unit_placement.h"

#include <cstddef>
#include <vector>

namespace sardinecourse {

/** Removes checkpoints until the others take at most aMaxBytes. Those of units
 * that no member can be running of are kept first: a worker still reports the
 * others to the next holder. A unit without a stored checkpoint only resumes
 * from its beginning when its worker and the holder are lost together. */
void
KeepCheckpointsWithin(std::vector<UnitPlacement>& aPlacements,
                      std::size_t aMaxBytes);

}
