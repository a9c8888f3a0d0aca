#include "zones/routing.h"

#include "core/reason.h"
#include "machines/minion_slot.h"
#include "zones/minion_table.h"

namespace sardinecourse {

std::optional<std::shared_ptr<MinionSlot>>
Route(const MinionTable& aTable,
      const ServiceName& aService,
      std::uint64_t aRandom,
      Reason& aReason)
{
  const MinionTable::Slots* slots = aTable.Find(aService);
  if (slots == nullptr) {
    aReason =
      Reason(Step::kRouting, aService.Text(), "no minion serves this service");
    return std::nullopt;
  }
  constexpr unsigned kHalfBits = 32;
  const std::size_t count = slots->size();
  std::size_t first = (aRandom & 0xffffffffU) % count;
  const std::size_t second = (aRandom >> kHalfBits) % count;
  if ((*slots)[second]->InFlight() < (*slots)[first]->InFlight()) {
    first = second;
  }
  // When both are full, one pass over the others finds any free slot before the
  // request is refused.
  for (std::size_t tried = 0; tried < count; ++tried) {
    const std::shared_ptr<MinionSlot>& slot = (*slots)[(first + tried) % count];
    if (slot->TryAcquire(slot->Upstream().Slots())) {
      return slot;
    }
  }
  aReason = Reason(Step::kRouting, aService.Text(), "every slot is taken");
  return std::nullopt;
}

}
