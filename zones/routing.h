#pragma once

#include "core/names.h"

#include <optional>

namespace sardinecourse {

class MinionTable;
class Reason;
struct RoutedMinion;
struct RoutingInputs;

/**
 * Picks a minion for one request and takes a slot there. Of two minions that
 * aInputs.random selects, it prefers the one with the lower product of requests
 * in flight and recent latency (Prequal, NSDI 2024). A minion of unknown
 * latency is kept out of that ranking and gets one request at a time. Leaving
 * minions get none. Ejected ones are used last, so that a fault common to all
 * does not empty the pool. Within each of these groups this data centre's
 * minions come first. Returns nullopt and sets aReason when no minion has a
 * free slot. Takes no lock and allocates only to describe a refusal.
 */
std::optional<RoutedMinion>
Route(const MinionTable& aTable,
      const ServiceName& aService,
      const RoutingInputs& aInputs,
      Reason& aReason);

}
