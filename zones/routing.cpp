#include "zones/routing.h"

#include "core/reason.h"
#include "machines/minion_state.h"
#include "zones/minion_table.h"
#include "zones/routed_minion.h"
#include "zones/routing_inputs.h"

namespace sardinecourse {

namespace {

using Slots = ServicePool::Slots;

constexpr unsigned kHalfBits = 32;
constexpr std::uint64_t kHalfMask = 0xffffffffU;
/** Both ways between data centres of a region, at most. */
constexpr std::chrono::milliseconds kSpillCost{ 3 };

bool
IsHealthy(const MinionState& aSlot, const RoutingInputs& aInputs)
{
  return !aSlot.Leaving() && !aSlot.Ejected(aInputs.now) &&
         &aSlot != aInputs.avoided;
}

/** True if the first minion is the better choice. Only known loads are ranked:
 * against a known one, an unknown one wins only while it has nothing of ours.
 */
bool
IsBetter(const MinionState& aFirst, const MinionState& aSecond, Instant aNow)
{
  const auto first = aFirst.Latency(aNow);
  const auto second = aSecond.Latency(aNow);
  if (first && second) {
    return (aFirst.InFlight() + 1) * first->count() <=
           (aSecond.InFlight() + 1) * second->count();
  }
  if (!first && !second) {
    return aFirst.InFlight() <= aSecond.InFlight();
  }
  return first ? aSecond.InFlight() > 0 : aFirst.InFlight() == 0;
}

std::size_t
PickOfTwo(const Slots& aSlots, const RoutingInputs& aInputs)
{
  const std::size_t first = (aInputs.random & kHalfMask) % aSlots.size();
  const std::size_t second = (aInputs.random >> kHalfBits) % aSlots.size();
  if (!IsHealthy(*aSlots[first], aInputs)) {
    return second;
  }
  if (!IsHealthy(*aSlots[second], aInputs)) {
    return first;
  }
  return IsBetter(*aSlots[first], *aSlots[second], aInputs.now) ? first
                                                                : second;
}

/** The preferred minion, or the next one after it that is healthy and has a
 * slot free. */
const std::shared_ptr<MinionState>*
TakeHealthy(const Slots& aSlots, const RoutingInputs& aInputs)
{
  if (aSlots.empty()) {
    return nullptr;
  }
  const std::size_t preferred = PickOfTwo(aSlots, aInputs);
  for (std::size_t tried = 0; tried < aSlots.size(); ++tried) {
    const auto& slot = aSlots[(preferred + tried) % aSlots.size()];
    if (IsHealthy(*slot, aInputs) && slot->TryAcquire()) {
      return &slot;
    }
  }
  return nullptr;
}

const std::shared_ptr<MinionState>*
TakeAnyStaying(const Slots& aSlots, const RoutingInputs& aInputs)
{
  const std::size_t count = aSlots.size();
  for (std::size_t tried = 0; tried < count; ++tried) {
    const auto& slot = aSlots[((aInputs.random & kHalfMask) + tried) % count];
    if (!slot->Leaving() && slot->TryAcquire()) {
      return &slot;
    }
  }
  return nullptr;
}

std::optional<RoutedMinion>
Take(const ServicePool& aPool, const RoutingInputs& aInputs)
{
  const bool maySpill = aInputs.deadline - aInputs.now > kSpillCost;
  if (const auto* slot = TakeHealthy(aPool.local, aInputs)) {
    return RoutedMinion{ *slot, RoutingChoice::kBetterOfTwo };
  }
  if (const auto* slot =
        maySpill ? TakeHealthy(aPool.remote, aInputs) : nullptr) {
    return RoutedMinion{ *slot, RoutingChoice::kSpilled };
  }
  if (const auto* slot = TakeAnyStaying(aPool.local, aInputs)) {
    return RoutedMinion{ *slot, RoutingChoice::kUnhealthyOnly };
  }
  if (const auto* slot =
        maySpill ? TakeAnyStaying(aPool.remote, aInputs) : nullptr) {
    return RoutedMinion{ *slot, RoutingChoice::kUnhealthyOnly };
  }
  return std::nullopt;
}

}

std::optional<RoutedMinion>
Route(const MinionTable& aTable,
      const ServiceName& aService,
      const RoutingInputs& aInputs,
      Reason& aReason)
{
  const ServicePool* pool = aTable.Find(aService);
  if (pool == nullptr) {
    aReason =
      Reason(Step::kRouting, aService.Text(), "no minion serves this service");
    return std::nullopt;
  }
  std::optional<RoutedMinion> taken = Take(*pool, aInputs);
  if (!taken) {
    aReason = Reason(Step::kRouting,
                     aService.Text(),
                     "every slot of this host's share is taken");
    return std::nullopt;
  }
  return taken;
}

}
