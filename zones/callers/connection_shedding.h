#pragma once

#include "zones/callers/held_connection.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

/** Chooses the connection to close when a request needs more memory than is
 * left: the one that has held most for longest, in bytes times time, without a
 * whole request or while its caller reads no answer. A request in an ordinary
 * caller's connection arrives within moments and ranks last. Empty if every
 * connection is idle or waits for an answer. */
std::optional<std::size_t>
ChooseToFreeMemory(const std::vector<HeldConnection>& aConnections,
                   Instant aNow);

/** Chooses the connection to close for a new one when none is left. Those that
 * were never served go first, the longest inactive before the others. Empty if
 * every connection waits for an answer, or began to read one a moment ago. */
std::optional<std::size_t>
ChooseToFreeConnection(const std::vector<HeldConnection>& aConnections,
                       Instant aNow);

}
