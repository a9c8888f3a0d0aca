#include "zones/routing.h"

#include "core/reason.h"
#include "machines/minion_state.h"
#include "zones/minion_table.h"
#include "zones/routed_minion.h"
#include "zones/routing_inputs.h"

namespace sardinecourse {

namespace {

using MinionStates = ServicePool::MinionStates;

constexpr unsigned kHalfBits = 32;
constexpr std::uint64_t kHalfMask = 0xffffffffU;
/** Max round-trip time between data centres of a region. */
constexpr std::chrono::milliseconds kMaxRegionRoundTrip{ 3 };

bool
IsHealthy(const MinionState& aMinion, const RoutingInputs& aInputs)
{
  return !aMinion.Leaving() && !aMinion.Ejected(aInputs.now) &&
         &aMinion != aInputs.avoided;
}

/** True if the first minion is the better choice. Only known latencies are
 * ranked: a minion of unknown latency is preferred to one of known latency only
 * while this host has no request in flight there.
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
PickOfTwo(const MinionStates& aMinions, const RoutingInputs& aInputs)
{
  const std::size_t first = (aInputs.random & kHalfMask) % aMinions.size();
  const std::size_t second = (aInputs.random >> kHalfBits) % aMinions.size();
  if (!IsHealthy(*aMinions[first], aInputs)) {
    return second;
  }
  if (!IsHealthy(*aMinions[second], aInputs)) {
    return first;
  }
  return IsBetter(*aMinions[first], *aMinions[second], aInputs.now) ? first
                                                                    : second;
}

/** Takes a slot at the preferred minion, or at the next one after it that is
 * healthy and has a free slot; null when there is none. */
const std::shared_ptr<MinionState>*
AcquireHealthy(const MinionStates& aMinions, const RoutingInputs& aInputs)
{
  if (aMinions.empty()) {
    return nullptr;
  }
  const std::size_t preferred = PickOfTwo(aMinions, aInputs);
  for (std::size_t tried = 0; tried < aMinions.size(); ++tried) {
    const auto& minion = aMinions[(preferred + tried) % aMinions.size()];
    if (IsHealthy(*minion, aInputs) && minion->TryAcquire()) {
      return &minion;
    }
  }
  return nullptr;
}

/** Takes a slot at any minion that is not leaving, even an ejected one; null
 * when none has a free slot. */
const std::shared_ptr<MinionState>*
AcquireAnyNotLeaving(const MinionStates& aMinions, const RoutingInputs& aInputs)
{
  const std::size_t count = aMinions.size();
  for (std::size_t tried = 0; tried < count; ++tried) {
    const auto& minion =
      aMinions[((aInputs.random & kHalfMask) + tried) % count];
    if (!minion->Leaving() && minion->TryAcquire()) {
      return &minion;
    }
  }
  return nullptr;
}

std::optional<RoutedMinion>
Acquire(const ServicePool& aPool, const RoutingInputs& aInputs)
{
  const bool maySpill = aInputs.deadline - aInputs.now > kMaxRegionRoundTrip;
  if (const auto* minion = AcquireHealthy(aPool.local, aInputs)) {
    return RoutedMinion{ *minion, RoutingChoice::kBetterOfTwo };
  }
  if (const auto* minion =
        maySpill ? AcquireHealthy(aPool.remote, aInputs) : nullptr) {
    return RoutedMinion{ *minion, RoutingChoice::kSpilled };
  }
  if (const auto* minion = AcquireAnyNotLeaving(aPool.local, aInputs)) {
    return RoutedMinion{ *minion, RoutingChoice::kUnhealthyOnly };
  }
  if (const auto* minion =
        maySpill ? AcquireAnyNotLeaving(aPool.remote, aInputs) : nullptr) {
    return RoutedMinion{ *minion, RoutingChoice::kUnhealthyOnly };
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
  std::optional<RoutedMinion> routed = Acquire(*pool, aInputs);
  if (!routed) {
    aReason = Reason(Step::kRouting,
                     aService.Text(),
                     "every slot of this host's share is taken");
    return std::nullopt;
  }
  return routed;
}

}
