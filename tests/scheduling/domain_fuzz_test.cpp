#include "contracts/domain_timing_builder.h"
#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <rapidcheck.h>

namespace sardinecourse {

namespace {

constexpr std::int32_t kWorkers = 6;
constexpr std::int32_t kWorkersPerRack = 3;
/** Exceeds the sum of all leases, retries and attempts of the jobs. */
constexpr std::int64_t kSettleMs = 400'000;

/** The rarest fault found so far took 5,000 histories to appear. */
constexpr int kRounds = 60;
constexpr int kEvacuationRounds = 20;

enum class Act : std::uint8_t
{
  kPass,
  kPoll,
  kPollAll,
  kAdvance,
  kSubmitTasks,
  kSubmitGang,
  kSubmitFailing,
  kSubmitRecovering,
  kCancel,
  kTakeOver,
  kRestartWorker,
  kReplaceWorker,
  kDrainWorker,
  kCutWorker,
  kHealWorkers,
  kStoreDown,
  kStoreUp,
  kEvacuate,
  kTakeBack,
  kHolderBlind,
  kNextBlind,
  kAllSee
};

/** One action of a history, with the parameters that it may use. */
struct Action
{
  Act act = Act::kPass;
  int number = 0;
  std::vector<OrderFault> faults;
};

void
showValue(const Action& aAction, std::ostream& aTo)
{
  aTo << '{' << static_cast<int>(aAction.act) << ' ' << aAction.number << " [";
  for (const OrderFault fault : aAction.faults) {
    aTo << static_cast<int>(fault);
  }
  aTo << "]}";
}

rc::Gen<OrderFault>
GenFault()
{
  return rc::gen::weightedElement<OrderFault>({ { 8, OrderFault::kAnswered },
                                                { 1, OrderFault::kUnanswered },
                                                { 1, OrderFault::kLate },
                                                { 1, OrderFault::kLost } });
}

rc::Gen<Act>
GenAct()
{
  return rc::gen::weightedElement<Act>({ { 12, Act::kPass },
                                         { 6, Act::kPoll },
                                         { 8, Act::kPollAll },
                                         { 12, Act::kAdvance },
                                         { 3, Act::kSubmitTasks },
                                         { 3, Act::kSubmitGang },
                                         { 1, Act::kSubmitFailing },
                                         { 2, Act::kSubmitRecovering },
                                         { 1, Act::kCancel },
                                         { 1, Act::kTakeOver },
                                         { 1, Act::kRestartWorker },
                                         { 1, Act::kReplaceWorker },
                                         { 1, Act::kDrainWorker },
                                         { 1, Act::kCutWorker },
                                         { 1, Act::kHealWorkers },
                                         { 1, Act::kStoreDown },
                                         { 2, Act::kStoreUp } });
}

/** Time passes in most of these, because only a start seconds after the
 * request violates an evacuation. */
rc::Gen<Act>
GenEvacuationAct()
{
  return rc::gen::weightedElement<Act>({ { 10, Act::kPass },
                                         { 10, Act::kPollAll },
                                         { 14, Act::kAdvance },
                                         { 5, Act::kSubmitTasks },
                                         { 3, Act::kSubmitGang },
                                         { 2, Act::kSubmitRecovering },
                                         { 1, Act::kCancel },
                                         { 1, Act::kTakeOver },
                                         { 1, Act::kRestartWorker },
                                         { 1, Act::kReplaceWorker },
                                         { 1, Act::kStoreDown },
                                         { 3, Act::kStoreUp },
                                         { 4, Act::kEvacuate },
                                         { 1, Act::kTakeBack },
                                         { 1, Act::kHolderBlind },
                                         { 1, Act::kNextBlind },
                                         { 1, Act::kAllSee } });
}

rc::Gen<Action>
GenAction(rc::Gen<Act> aAct)
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::act, std::move(aAct)),
    rc::gen::set(&Action::number, rc::gen::inRange(0, 1000)),
    rc::gen::set(&Action::faults,
                 rc::gen::container<std::vector<OrderFault>>(6, GenFault())));
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
  explicit Player(DomainTiming aTiming = DomainTiming())
    : world(kWorkers, kWorkersPerRack, aTiming)
  {
  }

  DomainWorld world;
  std::map<std::string, bool> failing;
  std::set<std::string> cancelled;

  void Play(const Action& aAction)
  {
    const std::string worker =
      this->world.Workers().at(aAction.number % kWorkers);
    switch (aAction.act) {
      case Act::kPass:
        this->world.Pass(aAction.faults);
        break;
      case Act::kPoll:
        this->world.Poll(worker, aAction.faults.front());
        break;
      case Act::kPollAll:
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
      case Act::kSubmitRecovering:
        this->SubmitRecovering(aAction.number);
        break;
      case Act::kCancel:
        this->Cancel(aAction.number);
        break;
      case Act::kTakeOver:
        this->world.TakeOver();
        break;
      case Act::kRestartWorker:
        this->Restart(worker, aAction.number % 2 == 0);
        break;
      case Act::kReplaceWorker:
        this->world.ReplaceWorker(worker);
        break;
      case Act::kDrainWorker:
        this->world.DrainWorker(worker, aAction.number % 3 > 0);
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
      case Act::kEvacuate:
        // No row can be written while the store is down.
        if (!this->world.isStoreDown) {
          this->world.Evacuate(aAction.number % 2 == 0 ? "d0" : "d1");
        }
        break;
      case Act::kTakeBack:
        if (!this->world.isStoreDown) {
          this->world.TakeBack(aAction.number % 2 == 0 ? "d0" : "d1");
        }
        break;
      case Act::kHolderBlind:
        this->world.isHolderBlind = true;
        break;
      case Act::kNextBlind:
        this->world.isNextBlind = true;
        break;
      case Act::kAllSee:
        this->world.isHolderBlind = false;
        this->world.isNextBlind = false;
        break;
    }
  }

private:
  /** Restarts a worker; the holder learns of it from a failed poll or from the
   * next report. Orders on their way reach the next incarnation, unless it is
   * cut off: then no holder could know before the lease has ended. */
  void Restart(const std::string& aWorker, bool aIsNoticed)
  {
    const bool isReachable = !this->world.cutOff.contains(aWorker);
    this->world.isHolderStalled = !aIsNoticed && isReachable;
    this->world.RestartWorker(aWorker, isReachable);
    this->world.isHolderStalled = false;
    if (isReachable) {
      this->world.Poll(aWorker, OrderFault::kAnswered);
      this->world.Poll(aWorker, OrderFault::kAnswered);
    }
  }

  void Submit(int aNumber,
              std::vector<JobStep> aSteps,
              bool aFails,
              std::int32_t aMaxAttempts = 3)
  {
    if (this->world.isStoreDown) {
      return; // No job is admitted while the store is down.
    }
    const std::string key = JobName(static_cast<int>(this->failing.size()));
    this->failing[key] = aFails;
    this->world.Submit(
      MakeAdmitted(key, aNumber % 3, std::move(aSteps), aMaxAttempts),
      500 + aNumber * 4,
      aFails);
  }

  /** Submits a gang or tasks whose last attempt succeeds. */
  void SubmitRecovering(int aNumber)
  {
    const std::string key = JobName(static_cast<int>(this->failing.size()));
    const std::int32_t attempts = 2 + aNumber % 3;
    const JobStep step = aNumber % 2 == 0
                           ? Valid(WholeWorkerGang(1 + aNumber % 4))
                           : Valid(QuarterStep(1 + aNumber % 4));
    this->Submit(aNumber, { step }, false, attempts);
    this->world.FailFirst(key, attempts - 1, aNumber % 5 < 2);
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

/** Random histories of faults of orders, workers, holders and the store must
 * not violate these invariants: no task runs twice at a time or after its
 * acknowledged end, no worker is allocated more than its capacity, and no task
 * exceeds its attempts. Once the faults are over, every job reaches its correct
 * final state. */
class DomainFuzzTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainFuzzTest);
  CPPUNIT_TEST(RandomFaultsKeepInvariantsAndAllJobsEnd);
  CPPUNIT_TEST(NothingStartsInEvacuatedDataCentre);
  CPPUNIT_TEST_SUITE_END();

public:
  void RandomFaultsKeepInvariantsAndAllJobsEnd()
  {
    for (int round = 0; round < kRounds; ++round) {
      CPPUNIT_ASSERT(rc::check("a scheduling domain", [] {
        CheckHistory(GenAct(), 120, DomainTiming());
      }));
    }
  }

  /** Evacuations begin and end at any moment of such a history, also while a
   * host cannot read them. */
  void NothingStartsInEvacuatedDataCentre()
  {
    const DomainTiming timing =
      Valid(DomainTimingBuilder().EvacuateTime(Milliseconds(5000)));
    for (int round = 0; round < kEvacuationRounds; ++round) {
      CPPUNIT_ASSERT(rc::check("an evacuated data centre", [&timing] {
        CheckHistory(GenEvacuationAct(), 240, timing);
      }));
    }
  }

private:
  static void CheckHistory(rc::Gen<Act> aAct,
                           int aMaxActions,
                           DomainTiming aTiming)
  {
    const auto actions = *rc::gen::container<std::vector<Action>>(
      *rc::gen::inRange(10, aMaxActions), GenAction(std::move(aAct)));
    Player player(aTiming);
    for (const Action& action : actions) {
      player.Play(action);
    }
    player.world.TakeBack("d0");
    player.world.TakeBack("d1");
    for (const std::string& worker : player.world.Workers()) {
      player.world.DrainWorker(worker, false);
    }
    const bool isSettled = player.world.Settle(kSettleMs);
    for (const std::string& violation : player.world.site.Violations()) {
      RC_LOG(violation);
    }
    RC_ASSERT(player.world.site.Violations().empty());
    RC_ASSERT(player.world.resurrected.empty());
    RC_ASSERT(isSettled);
    for (const auto& [key, fails] : player.failing) {
      const JobState state = player.world.StateOf(key);
      const bool isCorrect =
        state == (fails ? JobState::kFailed : JobState::kFinished) ||
        (state == JobState::kCancelled && player.cancelled.contains(key));
      RC_ASSERT(isCorrect);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainFuzzTest);

}
