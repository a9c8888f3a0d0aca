#pragma once

#include <cstdint>
#include <optional>

namespace sardinecourse {

/**
 * Number of a minion's slots (or connections) that one host may use, without a
 * coordinator: an equal part for each live host, and at least one. Where the
 * peers' use is known, half of what they do not use is added; half, because
 * every other host computes the same surplus.
 */
std::int32_t
SlotShare(std::int32_t aSlots,
          std::int32_t aLiveHosts,
          std::optional<std::int32_t> aPeersInFlight);

}
