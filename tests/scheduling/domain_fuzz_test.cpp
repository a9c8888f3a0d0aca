#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

constexpr std::int32_t kWorkers = 6;
constexpr std::int32_t kWorkersPerRack = 3;
/** Longer than all leases, retries and attempts of the jobs together. */
constexpr std::int64_t kSettleMs = 400'000;

/** The rarest fault known took 5,000 histories to find. */
constexpr int kRounds = 60;

enum class Act : std::uint8_t
{
  kPass,
  kLook,
  kLookAtAll,
  kAdvance,
  kSubmitTasks,
  kSubmitGang,
  kSubmitFailing,
  kCancel,
  kTakeOver,
  kRestartWorker,
  kReplaceWorker,
  kCutWorker,
  kHealWorkers,
  kStoreDown,
  kStoreUp
};

/** One action of a history, with the numbers that it may need. */
struct Action
{
  Act act = Act::kPass;
  int number = 0;
  std::vector<OrderFault> fates;
};

void
showValue(const Action& aAction, std::ostream& aTo)
{
  aTo << '{' << static_cast<int>(aAction.act) << ' ' << aAction.number << " [";
  for (const OrderFault fate : aAction.fates) {
    aTo << static_cast<int>(fate);
  }
  aTo << "]}";
}

rc::Gen<OrderFault>
GenFate()
{
  return rc::gen::weightedElement<OrderFault>({ { 8, OrderFault::kAnswered },
                                                { 1, OrderFault::kUnanswered },
                                                { 1, OrderFault::kLate },
                                                { 1, OrderFault::kLost } });
}

rc::Gen<Action>
GenAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::act,
                 rc::gen::weightedElement<Act>({ { 12, Act::kPass },
                                                 { 6, Act::kLook },
                                                 { 8, Act::kLookAtAll },
                                                 { 12, Act::kAdvance },
                                                 { 3, Act::kSubmitTasks },
                                                 { 3, Act::kSubmitGang },
                                                 { 1, Act::kSubmitFailing },
                                                 { 1, Act::kCancel },
                                                 { 1, Act::kTakeOver },
                                                 { 1, Act::kRestartWorker },
                                                 { 1, Act::kReplaceWorker },
                                                 { 1, Act::kCutWorker },
                                                 { 1, Act::kHealWorkers },
                                                 { 1, Act::kStoreDown },
                                                 { 2, Act::kStoreUp } })),
    rc::gen::set(&Action::number, rc::gen::inRange(0, 1000)),
    rc::gen::set(&Action::fates,
                 rc::gen::container<std::vector<OrderFault>>(6, GenFate())));
}

std::string
JobName(int aNumber)
{
  return "job" + std::to_string(aNumber);
}

/** Plays a history; jobs are named by the order of their submission. */
class Player
{
public:
  DomainWorld world{ kWorkers, kWorkersPerRack };
  std::map<std::string, bool> failing;
  std::set<std::string> cancelled;

  void Play(const Action& aAction)
  {
    const std::string worker =
      this->world.Workers().at(aAction.number % kWorkers);
    switch (aAction.act) {
      case Act::kPass:
        this->world.Pass(aAction.fates);
        break;
      case Act::kLook:
        this->world.Poll(worker, aAction.fates.front());
        break;
      case Act::kLookAtAll:
        this->world.PollAll();
        break;
      case Act::kAdvance:
        this->world.Advance(50 + 2 * aAction.number);
        break;
      case Act::kSubmitTasks:
        this->Submit(aAction.number,
                     { Valid(QuarterStep(1 + aAction.number % 9)) },
                     false);
        break;
      case Act::kSubmitGang:
        this->Submit(aAction.number,
                     { Valid(WholeWorkerGang(1 + aAction.number % 4)
                               .PrefersOneRack(aAction.number % 2 == 0)) },
                     false);
        break;
      case Act::kSubmitFailing:
        this->Submit(aAction.number, { Valid(WholeWorkerGang(2)) }, true);
        break;
      case Act::kCancel:
        this->Cancel(aAction.number);
        break;
      case Act::kTakeOver:
        this->world.TakeOver();
        break;
      case Act::kRestartWorker:
        this->world.RestartWorker(worker);
        break;
      case Act::kReplaceWorker:
        this->world.ReplaceWorker(worker);
        break;
      case Act::kCutWorker:
        this->world.cutOff.insert(worker);
        break;
      case Act::kHealWorkers:
        this->world.cutOff.clear();
        break;
      case Act::kStoreDown:
        this->world.isStoreDown = true;
        break;
      case Act::kStoreUp:
        this->world.isStoreDown = false;
        break;
    }
  }

private:
  void Submit(int aNumber, std::vector<JobStep> aSteps, bool aFails)
  {
    if (this->world.isStoreDown) {
      return; // Nothing is admitted then.
    }
    const std::string key = JobName(static_cast<int>(this->failing.size()));
    this->failing[key] = aFails;
    this->world.Submit(MakeAdmitted(key, aNumber % 3, std::move(aSteps)),
                       500 + aNumber * 4,
                       aFails);
  }

  void Cancel(int aNumber)
  {
    if (this->failing.empty() || this->world.isStoreDown) {
      return;
    }
    const std::string key =
      JobName(aNumber % static_cast<int>(this->failing.size()));
    this->world.Cancel(key);
    this->cancelled.insert(key);
  }
};

}

/**
 * Whatever becomes of orders, workers, holders and the store: no task runs
 * twice at a time or after its acknowledged end, no worker is given more than
 * it has room for, attempts are kept, and once the faults are over every job
 * comes to its true end.
 */
class DomainFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainFuzzTest);
  CPPUNIT_TEST(NoHistoryBreaksAPromiseAndAllJobsEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void NoHistoryBreaksAPromiseAndAllJobsEnd()
  {
    for (int round = 0; round < kRounds; ++round) {
      CPPUNIT_ASSERT(rc::check("a scheduling domain", CheckHistory));
    }
  }

private:
  static void CheckHistory()
  {
    const auto actions = *rc::gen::container<std::vector<Action>>(
      *rc::gen::inRange(10, 120), GenAction());
    Player player;
    for (const Action& action : actions) {
      player.Play(action);
    }
    const bool isSettled = player.world.Settle(kSettleMs);
    for (const std::string& violation : player.world.floor.Violations()) {
      RC_LOG(violation);
    }
    RC_ASSERT(player.world.floor.Violations().empty());
    RC_ASSERT(isSettled);
    for (const auto& [key, fails] : player.failing) {
      const JobState state = player.world.StateOf(key);
      const bool isTrue =
        state == (fails ? JobState::kFailed : JobState::kFinished) ||
        (state == JobState::kCancelled && player.cancelled.contains(key));
      RC_ASSERT(isTrue);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainFuzzTest);

}
