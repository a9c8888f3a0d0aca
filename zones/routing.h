#pragma once

#include "core/names.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace sardinecourse {

class MinionSlot;
class MinionTable;
class Reason;

/**
 * Picks a minion for one request and takes a slot there: the less loaded of two
 * that aRandom names. Empty, with the reason, when no minion of the service has
 * a slot free. It takes no lock and allocates only to describe a refusal.
 */
std::optional<std::shared_ptr<MinionSlot>>
Route(const MinionTable& aTable,
      const ServiceName& aService,
      std::uint64_t aRandom,
      Reason& aReason);

}
