#include "core/reason.h"
#include "machines/minion_builder.h"
#include "machines/minion_state.h"
#include "zones/minion_table.h"
#include "zones/routed_minion.h"
#include "zones/routing.h"
#include "zones/routing_inputs.h"

#include <algorithm>
#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace sardinecourse {

namespace {

constexpr std::size_t kLocal = 3;
constexpr std::size_t kAll = 5;
constexpr std::int32_t kShare = 2;
constexpr int kKinds = 7;

/** Minions of two data centres, and the number of slots taken at each. */
struct World
{
  World()
  {
    for (std::size_t index = 0; index < kAll; ++index) {
      Reason reason;
      MinionBuilder builder;
      builder.Name(MinionName("m" + std::to_string(index)));
      builder.Service(ServiceName("fretdesk"));
      this->minions.push_back(
        std::make_shared<MinionState>(builder.Build(reason).value()));
      this->minions.back()->SetShare(kShare);
    }
    const auto middle = this->minions.begin() + kLocal;
    this->table = MinionTable({ this->minions.begin(), middle },
                              { middle, this->minions.end() });
  }

  bool IsHealthy(std::size_t aIndex) const
  {
    return !this->leaving[aIndex] && !this->minions[aIndex]->Ejected(this->now);
  }
  bool HasFreeSlot(std::size_t aIndex) const
  {
    return this->taken[aIndex] < kShare;
  }

  MinionTable::MinionStates minions;
  MinionTable table;
  std::array<std::int32_t, kAll> taken{};
  std::array<bool, kAll> leaving{};
  Instant now = Instant() + std::chrono::hours(1);
};

struct Model
{};

struct Event : rc::state::Command<Model, World>
{
  int kind = *rc::gen::inRange(0, kKinds);
  std::size_t index = *rc::gen::inRange<std::size_t>(0, kAll);
  std::uint64_t random = *rc::gen::arbitrary<std::uint64_t>();
  int amount = *rc::gen::inRange(0, 5000);

  void run(const Model&, World& aWorld) const override
  {
    MinionState& minion = *aWorld.minions[this->index];
    switch (this->kind) {
      case 0:
        minion.MarkLeaving(LeavingSource::kPeer);
        aWorld.leaving[this->index] = true;
        break;
      case 1:
        minion.ClearLeaving(LeavingSource::kPeer);
        aWorld.leaving[this->index] = false;
        break;
      case 2:
        for (int count = 0; count < 5; ++count) {
          minion.RecordFailure(aWorld.now);
        }
        break;
      case 3:
        minion.RecordAnswer(std::chrono::microseconds(this->amount),
                            aWorld.now);
        break;
      case 4:
        aWorld.now += Milliseconds(this->amount);
        break;
      case 5:
        this->Release(aWorld);
        break;
      default:
        this->RouteOne(aWorld);
        break;
    }
  }

  void Release(World& aWorld) const
  {
    if (aWorld.taken[this->index] > 0) {
      aWorld.minions[this->index]->Release();
      --aWorld.taken[this->index];
    }
  }

  void RouteOne(World& aWorld) const
  {
    Reason reason;
    const RoutingInputs inputs{ this->random, aWorld.now };
    const auto routed =
      Route(aWorld.table, ServiceName("fretdesk"), inputs, reason);
    bool isLocalFree = false;
    bool isHealthyFree = false;
    bool isUsableFree = false;
    for (std::size_t index = 0; index < kAll; ++index) {
      const bool isUsable = !aWorld.leaving[index];
      const bool isHealthy =
        aWorld.IsHealthy(index) && aWorld.HasFreeSlot(index);
      isLocalFree = isLocalFree || (isHealthy && index < kLocal);
      isHealthyFree = isHealthyFree || isHealthy;
      isUsableFree = isUsableFree || (isUsable && aWorld.HasFreeSlot(index));
    }
    RC_ASSERT(routed.has_value() == isUsableFree);
    if (!routed) {
      return;
    }
    const auto found =
      std::find(aWorld.minions.begin(), aWorld.minions.end(), routed->minion);
    const auto index = static_cast<std::size_t>(found - aWorld.minions.begin());
    RC_ASSERT(!aWorld.leaving[index]);
    RC_ASSERT(aWorld.HasFreeSlot(index));
    RC_ASSERT(!isHealthyFree || aWorld.IsHealthy(index));
    RC_ASSERT(!isLocalFree || index < kLocal);
    ++aWorld.taken[index];
    RC_ASSERT(routed->minion->InFlight() == aWorld.taken[index]);
  }

  void show(std::ostream& aTo) const override
  {
    aTo << "Event(" << this->kind << ", " << this->index << ", " << this->amount
        << ')';
  }
};

}

/** Guards against requests routed to leaving minions or beyond this host's
 * share of slots, and against refusals while a usable minion has a free slot.
 */
class RoutingFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RoutingFuzzTest);
  CPPUNIT_TEST(RoutesOnlyToUsableMinionsInAnyState);
  CPPUNIT_TEST_SUITE_END();

public:
  void RoutesOnlyToUsableMinionsInAnyState()
  {
    CPPUNIT_ASSERT(rc::check("routing", [] {
      World world;
      rc::state::check(
        Model(), world, rc::state::gen::execOneOfWithArgs<Event>());
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingFuzzTest);

}
