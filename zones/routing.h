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
 * aInputs.random names, the one with the lower product of requests in flight
 * and recent latency (Prequal, NSDI 2024); a minion whose latency is unknown is
 * kept out of that ranking and tried with one request at a time. Minions that
 * are leaving get nothing. Ejected ones are taken last, so that a fault common
 * to all does not empty the pool. Other data centres come after this one's.
 * Empty, with the reason, when no minion has a slot free. It takes no lock and
 * allocates only to describe a refusal.
 */
std::optional<RoutedMinion>
Route(const MinionTable& aTable,
      const ServiceName& aService,
      const RoutingInputs& aInputs,
      Reason& aReason);

}
