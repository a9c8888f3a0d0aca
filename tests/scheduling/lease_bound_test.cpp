#include "contracts/domain_timing_builder.h"
#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;
constexpr std::int64_t kIntervalMs = 100;
constexpr std::int64_t kLimitMs = 60'000;
/** Time for the holder to notice that a worker does not answer. */
constexpr std::int64_t kNoticeMs = 1000;
const std::vector<int> kTakeovers{ 1, 3, 5 };

/** Starts a long task; returns the name of its worker. */
std::string
StartTask(DomainWorld& aWorld)
{
  aWorld.PollAll();
  aWorld.PollAll();
  aWorld.Submit(
    MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), kLongMs, false);
  aWorld.RunFor(1000);
  return aWorld.site.workers.at("w0").Runs().empty() ? "w1" : "w0";
}

/** Replaces the holder aTakeovers times, each aSpanMs after the one before;
 * returns the time in milliseconds from aSinceMs until the task has started for
 * the second time. */
std::int64_t
WaitThroughTakeovers(DomainWorld& aWorld,
                     int aTakeovers,
                     std::int64_t aSpanMs,
                     bool aAreReleased,
                     std::int64_t aSinceMs)
{
  for (int takeover = 0; takeover < aTakeovers; ++takeover) {
    aWorld.TakeOver(aAreReleased);
    for (std::int64_t passed = 0; passed < aSpanMs && aWorld.site.Starts() < 2;
         passed += kIntervalMs) {
      aWorld.RunFor(kIntervalMs);
    }
  }
  while (aWorld.site.Starts() < 2 && aWorld.site.nowMs < aSinceMs + kLimitMs) {
    aWorld.RunFor(kIntervalMs);
  }
  return aWorld.site.nowMs - aSinceMs;
}

}

/** How long the runs of a worker that does not answer hold up their tasks while
 * the holder changes. */
class LeaseBoundTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseBoundTest);
  CPPUNIT_TEST(WaitForLostWorkerDoesNotGrowWithTakeovers);
  CPPUNIT_TEST(WorkerLostWithItsHolderWaitsForRestartTimeAtMost);
  CPPUNIT_TEST(LeavingWorkerLostWithItsHolderWaitsForShortLease);
  CPPUNIT_TEST(WorkerThatStaysIsGrantedLongLeasesAgain);
  CPPUNIT_TEST(WorkerThatIsNotListedAnyMoreKeepsItsBound);
  CPPUNIT_TEST(WorkerThatAnswersAgainGetsNoLeaseWhileItsBoundIsStored);
  CPPUNIT_TEST(WorkerThatAnswersAgainKeepsItsRuns);
  CPPUNIT_TEST(BoundOfHolderBeforeAnOlderBuildIsIgnored);
  CPPUNIT_TEST(NothingIsStoredWhileAllWorkersAnswer);
  CPPUNIT_TEST_SUITE_END();

public:
  // Failure: each holder that takes over begins the wait for a worker that
  // never answers it anew.
  void WaitForLostWorkerDoesNotGrowWithTakeovers()
  {
    const DomainTiming timing;
    for (const bool areReleased : { true, false }) {
      for (const int takeovers : kTakeovers) {
        DomainWorld world(2, 2, timing);
        const std::string lost = StartTask(world);
        const std::int64_t lostMs = world.site.nowMs;
        world.cutOff.insert(lost);
        world.RunFor(kNoticeMs);
        const std::int64_t waited =
          WaitThroughTakeovers(world, takeovers, 2500, areReleased, lostMs);
        CPPUNIT_ASSERT_LESSEQUAL(timing.GrantedLease().count() + 1000, waited);
        CPPUNIT_ASSERT(world.site.Violations().empty());
      }
    }
  }

  // Failure: as above, with a first holder that is lost before it notices the
  // loss of the worker, so that its successor has to wait for all that it may
  // have granted.
  void WorkerLostWithItsHolderWaitsForRestartTimeAtMost()
  {
    const DomainTiming timing;
    constexpr std::int64_t kTakeoverMs = 3000;
    for (const int takeovers : kTakeovers) {
      DomainWorld world(2, 2, timing);
      const std::string lost = StartTask(world);
      const std::int64_t lostMs = world.site.nowMs;
      world.RemoveWorker(lost);
      world.Advance(kTakeoverMs);
      const std::int64_t waited =
        WaitThroughTakeovers(world, takeovers, 2500, false, lostMs);
      CPPUNIT_ASSERT_LESSEQUAL(std::int64_t{ timing.RestartTime().count() },
                               waited);
      CPPUNIT_ASSERT(world.site.Violations().empty());
    }
  }

  // Failure: a worker leaves, to which the holder granted short leases only,
  // and the holder is lost with it. The next one waits for the longest lease.
  void LeavingWorkerLostWithItsHolderWaitsForShortLease()
  {
    const DomainTiming timing;
    DomainWorld world(2, 2, timing);
    const std::string leaving = StartTask(world);
    world.DrainWorker(leaving);
    world.RunFor(timing.GrantedLease().count());
    const std::int64_t lostMs = world.site.nowMs;
    world.RemoveWorker(leaving);
    const std::int64_t waited =
      WaitThroughTakeovers(world, 1, 2500, false, lostMs);
    CPPUNIT_ASSERT_LESSEQUAL(
      (DomainTiming::kRenewalGrace + timing.LeavingLease()).count() + 1000,
      waited);
  }

  // Failure: the store says that a worker gets short leases only while it is
  // granted long ones again, and the next holder relies on the row.
  void WorkerThatStaysIsGrantedLongLeasesAgain()
  {
    const DomainTiming timing;
    DomainWorld world(2, 2, timing);
    const std::string staying = StartTask(world);
    world.DrainWorker(staying);
    world.RunFor(2000);
    world.isStoreDown = true;
    world.DrainWorker(staying, false);
    world.RunFor(2000);
    const auto leaseLeft = [&world, &staying] {
      return world.Domain()
        .FindWorker(WorkerName(staying))
        ->LeaseLeft(world.Now());
    };
    world.RunFor(timing.GrantedLease().count());
    CPPUNIT_ASSERT(leaseLeft() <= timing.LeavingLease() + Milliseconds(500));
    world.isStoreDown = false;
    world.RunFor(1000);
    CPPUNIT_ASSERT(leaseLeft() > timing.LeavingLease() + Milliseconds(500));
  }

  // Failure: a later holder never polls a worker that left the list, and waits
  // for it as if it had just been granted a lease.
  void WorkerThatIsNotListedAnyMoreKeepsItsBound()
  {
    const DomainTiming timing;
    DomainWorld world(2, 2, timing);
    const std::string lost = StartTask(world);
    const std::int64_t lostMs = world.site.nowMs;
    world.RemoveWorker(lost);
    world.RunFor(kNoticeMs);
    const std::int64_t waited =
      WaitThroughTakeovers(world, 5, 700, true, lostMs);
    CPPUNIT_ASSERT_LESSEQUAL(timing.GrantedLease().count() + 1000, waited);
  }

  // Failure: a holder without the store goes on renewing a worker that answers
  // again, while the next holder relies on the stored bound: the task runs
  // twice.
  void WorkerThatAnswersAgainGetsNoLeaseWhileItsBoundIsStored()
  {
    DomainWorld world(2, 2);
    const std::string silent = StartTask(world);
    world.cutOff.insert(silent);
    world.RunFor(kNoticeMs);
    world.isStoreDown = true;
    world.cutOff.clear();
    world.RunFor(4000);
    world.isStoreDown = false;
    world.cutOff.insert(silent);
    world.TakeOver();
    world.RunFor(10'000);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
    CPPUNIT_ASSERT(world.site.Violations().empty());
  }

  void WorkerThatAnswersAgainKeepsItsRuns()
  {
    DomainWorld world(2, 2);
    const std::string silent = StartTask(world);
    world.cutOff.insert(silent);
    world.RunFor(kNoticeMs);
    world.cutOff.clear();
    world.RunFor(kNoticeMs);
    world.TakeOver();
    world.RunFor(20'000);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, world.site.Starts());
  }

  // Failure: a holder of a build that does not withdraw bounds granted leases
  // after the bound was stored.
  void BoundOfHolderBeforeAnOlderBuildIsIgnored()
  {
    const DomainTiming timing;
    DomainWorld world(2, 2, timing);
    const std::string lost = StartTask(world);
    world.cutOff.insert(lost);
    world.RunFor(kNoticeMs);
    world.boundsKeptSince = 3;
    world.TakeOver();
    world.RunFor(timing.GrantedLease().count());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, world.site.Starts());
  }

  void NothingIsStoredWhileAllWorkersAnswer()
  {
    DomainWorld world(2, 2);
    StartTask(world);
    world.RunFor(5000);
    CPPUNIT_ASSERT(!world.Domain().AreLeaseBoundsDue(world.Now()));
    CPPUNIT_ASSERT_EQUAL(0, world.boundWrites);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseBoundTest);

}
