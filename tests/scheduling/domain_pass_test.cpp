#include "contracts/domain_timing_builder.h"
#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;
/** By which a guaranteed job has begun; DomainTiming's default. */
constexpr std::int64_t kReclaimMs = 3000;

/** Lets batch work of so many tasks, each of a quarter of a worker, have what
 * it may take. */
void
SubmitBatch(DomainWorld& aWorld, std::int32_t aTasks)
{
  aWorld.PollAll();
  aWorld.Submit(
    MakeAdmitted("batch", 2, { Valid(QuarterStep(aTasks)) }), kLongMs, false);
  aWorld.Pass({});
}

}

/** Patterns of load and of faults, each named for what it shows. */
class DomainPassTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainPassTest);
  CPPUNIT_TEST(ScatteredSmallTasksLeaveWholeWorkersForGangs);
  CPPUNIT_TEST(AGangStartsWholeOrNotAtAll);
  CPPUNIT_TEST(AGangThatPrefersOneRackWaitsForIt);
  CPPUNIT_TEST(AGangWiderThanARackIsSpread);
  CPPUNIT_TEST(AGuaranteedJobReclaimsFromABurstOfBatchWork);
  CPPUNIT_TEST(BatchWorkLeavesRoomForUrgentJobs);
  CPPUNIT_TEST(BatchWorkThatMayBeLateLeavesLessRoom);
  CPPUNIT_TEST(AJobBeyondItsGuaranteeStopsNoDearWork);
  CPPUNIT_TEST(AStepWaitsForTheStepsBeforeIt);
  CPPUNIT_TEST(NoMoreTasksOfAStepOnAWorkerThanAllowed);
  CPPUNIT_TEST(ALeavingWorkerTakesNothingNew);
  CPPUNIT_TEST(AWorkerThatFailsAllItStartsIsUsedLast);
  CPPUNIT_TEST(ASuccessorStopsNothingThatRuns);
  CPPUNIT_TEST(ASuccessorStopsTheYoungestForAnUrgentJob);
  CPPUNIT_TEST(EndsOfARestartedWorkerAreNotAcknowledgedByOldNumbers);
  CPPUNIT_TEST(AHolderThatStoodStillAcknowledgesNothingByOldNumbers);
  CPPUNIT_TEST(AFailureThatIsListedAgainIsOneAttempt);
  CPPUNIT_TEST(AnEndThatNobodyHeardOfBeforeTheCrashIsRunAgain);
  CPPUNIT_TEST(ATaskOnAWorkerThatIsGoneRunsElsewhere);
  CPPUNIT_TEST(ATaskOfAnEndedLifeRunsElsewhereAtOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void ScatteredSmallTasksLeaveWholeWorkersForGangs()
  {
    DomainWorld world(5, 5);
    world.Submit(
      MakeAdmitted("small", 2, { Valid(QuarterStep(8)) }), kLongMs, false);
    world.PollAll();
    world.Pass({});
    world.Submit(
      MakeAdmitted("gang", 1, { Valid(WholeWorkerGang(2)) }), kLongMs, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 10 }, world.floor.Starts());
  }

  void AGangStartsWholeOrNotAtAll()
  {
    DomainWorld world(3, 3);
    world.PollAll();
    world.Submit(
      MakeAdmitted("gang", 1, { Valid(WholeWorkerGang(4)) }), 1000, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, world.floor.Starts());
  }

  void AGangThatPrefersOneRackWaitsForIt()
  {
    DomainWorld world(4, 2);
    world.PollAll();
    for (const char* rack : { "r0", "r1" }) {
      world.Submit(
        MakeAdmitted(rack, 1, { Valid(WholeWorkerGang(1).Label(rack)) }),
        800,
        false);
    }
    world.Pass({});
    world.Submit(
      MakeAdmitted("tight",
                   1,
                   { Valid(WholeWorkerGang(2).PrefersOneRack(true).Estimate(
                     Milliseconds(4000))) }),
      kLongMs,
      false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.floor.Starts());
    world.Advance(1000);
    world.PollAll();
    world.Pass({});
    const auto& members =
      world.Domain().FindJob(JobKey("tight"))->Units().front().Members();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, members.size());
    CPPUNIT_ASSERT_EQUAL(RackOf(world, members[0].worker),
                         RackOf(world, members[1].worker));
  }

  void AGangWiderThanARackIsSpread()
  {
    DomainWorld world(4, 2);
    world.PollAll();
    world.Submit(
      MakeAdmitted(
        "wide", 1, { Valid(WholeWorkerGang(3).PrefersOneRack(true)) }),
      1000,
      false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, world.floor.Starts());
  }

  void AGuaranteedJobReclaimsFromABurstOfBatchWork()
  {
    DomainWorld world(2, 2);
    world.Domain().SetGuarantees({ { TeamName("luthiers"), 16 } });
    SubmitBatch(world, 8);
    world.Submit(
      MakeAdmitted("urgent", 0, { Valid(WholeWorkerGang(1)) }), 1000, false);
    CPPUNIT_ASSERT(BeginsWithin(world, "urgent", kReclaimMs));
    // Five batch tasks beside the headroom, and the gang; only the worker that
    // the gang needs was freed.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 6 }, world.floor.Starts());
  }

  void BatchWorkLeavesRoomForUrgentJobs()
  {
    DomainWorld world(4, 2);
    SubmitBatch(world, 16);
    // 42% of 32 accelerators are 13, so that 19 are left for tasks of two.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 9 }, world.floor.Starts());
    world.Submit(
      MakeAdmitted("urgent", 0, { Valid(WholeWorkerGang(1)) }), 1000, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 10 }, world.floor.Starts());
  }

  void BatchWorkThatMayBeLateLeavesLessRoom()
  {
    DomainWorld world(4, 2);
    SubmitBatch(world, 16);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 9 }, world.floor.Starts());
    // The slack of its objective is 3 s.
    for (int turn = 0; turn < 11; ++turn) {
      world.PollAll();
      world.Advance(200);
    }
    world.PollAll();
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 9 }, world.floor.Starts());
    world.Advance(100);
    world.PollAll();
    world.Pass({});
    // A tenth of 32 accelerators is 3; 11 of the 14 free ones are left.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 14 }, world.floor.Starts());
  }

  void AJobBeyondItsGuaranteeStopsNoDearWork()
  {
    DomainWorld world(2, 2);
    world.Domain().SetGuarantees({ { TeamName("luthiers"), 4 } });
    world.PollAll();
    world.Submit(
      MakeAdmitted("other", 1, { Valid(WholeWorkerGang(1)) }), kLongMs, false);
    world.Pass({});
    // What it would stop has done more work than the urgent job has in all.
    for (int turn = 0; turn < 20; ++turn) {
      world.PollAll();
      world.Advance(200);
    }
    world.Submit(
      MakeAdmitted("urgent", 0, { Valid(WholeWorkerGang(2)) }), 1000, false);
    CPPUNIT_ASSERT(!BeginsWithin(world, "urgent", kReclaimMs));
  }

  void AStepWaitsForTheStepsBeforeIt()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.Submit(MakeAdmitted("steps",
                              1,
                              { Valid(QuarterStep(2)),
                                Valid(QuarterStep(3).After({ 0 })) }),
                 400,
                 false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.floor.Starts());
    CPPUNIT_ASSERT(world.Settle(10'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, world.floor.Starts());
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("steps"));
  }

  void NoMoreTasksOfAStepOnAWorkerThanAllowed()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.Submit(
      MakeAdmitted("apart", 1, { Valid(QuarterStep(4).MaxTasksPerWorker(1)) }),
      kLongMs,
      false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.floor.Starts());
  }

  void ALeavingWorkerTakesNothingNew()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    WorkerListingBuilder leaving;
    Reason reason;
    leaving.Name(WorkerName("w0"))
      .Service(ServiceName("fretdesk"))
      .Address(*Endpoint::Parse("127.0.0.1:1", reason))
      .Capacity(MakeResources(64'000, 131'072, 8))
      .IsLeaving(true);
    world.Domain().ListWorker(Valid(leaving), world.Now());
    world.Submit(
      MakeAdmitted("tasks", 1, { Valid(QuarterStep(8)) }), kLongMs, false);
    world.Pass({});
    CPPUNIT_ASSERT(world.floor.workers.at("w0").Runs().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 },
                         world.floor.workers.at("w1").Runs().size());
  }

  void AWorkerThatFailsAllItStartsIsUsedLast()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    TrackedWorker& grey = *world.Domain().FindWorker(WorkerName("w0"));
    grey.NoteFailure(JobKey("a"), world.Now());
    grey.NoteFailure(JobKey("b"), world.Now());
    world.Submit(
      MakeAdmitted("tasks", 1, { Valid(QuarterStep(4)) }), kLongMs, false);
    world.Pass({});
    CPPUNIT_ASSERT(world.floor.workers.at("w0").Runs().empty());
  }

  void ASuccessorStopsNothingThatRuns()
  {
    DomainWorld world(4, 2);
    world.PollAll();
    world.Submit(
      MakeAdmitted("gang", 1, { Valid(WholeWorkerGang(3)) }), 2000, false);
    world.Pass({});
    world.PollAll();
    world.Advance(500);
    world.TakeOver();
    CPPUNIT_ASSERT(world.Settle(10'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, world.floor.Starts());
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("gang"));
  }

  /** The pattern: the domain changes hands in a burst, and the next holder does
   * not know when the runs began that it has found. */
  void ASuccessorStopsTheYoungestForAnUrgentJob()
  {
    constexpr Milliseconds kLong{ 100'000 };
    const auto step = [kLong](int aCount) {
      return Valid(QuarterStep(aCount).Estimate(kLong));
    };
    DomainWorld world(2, 2);
    world.PollAll();
    world.Submit(MakeAdmitted("a-old", 1, { step(4) }), kLong.count(), false);
    world.Pass({});
    constexpr int kSeconds = 20;
    for (int second = 0; second < kSeconds; ++second) {
      world.PollAll();
      world.Advance(1000);
    }
    world.PollAll();
    world.Submit(MakeAdmitted("b-young", 1, { step(3) }), kLong.count(), false);
    world.Pass({});
    world.PollAll();
    world.TakeOver();
    world.PollAll();
    world.Submit(MakeAdmitted("urgent", 0, { step(2) }), kLong.count(), false);
    world.Pass({}); // The first task takes the room that is free.
    world.Pass({});
    for (const TaskUnit& unit :
         world.Domain().FindJob(JobKey("a-old"))->Units()) {
      CPPUNIT_ASSERT(!unit.Abandoned());
    }
    const auto& young = world.Domain().FindJob(JobKey("b-young"))->Units();
    CPPUNIT_ASSERT_EQUAL(
      std::ptrdiff_t{ 1 },
      std::count_if(young.begin(), young.end(), [](const TaskUnit& aUnit) {
        return aUnit.Abandoned();
      }));
  }

  /** Found by DomainFuzzTest: the new life's first end was forgotten unseen,
   * and its task ran again. */
  void EndsOfARestartedWorkerAreNotAcknowledgedByOldNumbers()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("first", 1, { Valid(QuarterStep(1)) }), 100, false);
    world.Pass({});
    world.Advance(200);
    world.PollAll();
    world.Pass({});
    world.RestartWorker("w0");
    world.Submit(
      MakeAdmitted("second", 1, { Valid(QuarterStep(1)) }), 100, false);
    world.Pass({});
    world.Advance(200);
    CPPUNIT_ASSERT(world.Settle(20'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.floor.Starts());
    CPPUNIT_ASSERT(world.floor.Violations().empty());
  }

  void AHolderThatStoodStillAcknowledgesNothingByOldNumbers()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("first", 1, { Valid(QuarterStep(1)) }), 100, false);
    world.Pass({});
    world.Advance(200);
    world.PollAll();
    world.Pass({});
    world.isHolderStill = true;
    world.RestartWorker("w0");
    constexpr std::int64_t kStillMs = 1500;
    world.Advance(kStillMs);
    const WorkerName worker("w0");
    CPPUNIT_ASSERT_EQUAL(
      std::int64_t{ 0 },
      world.Domain().AcknowledgeableEnd(worker, world.Now()));
  }

  void AFailureThatIsListedAgainIsOneAttempt()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("fails", 1, { Valid(QuarterStep(1)) }, 2), 100, true);
    world.Pass({});
    world.Advance(200);
    // The failure is stored, but the holder ends before it is acknowledged.
    world.PollAll();
    world.Pass({});
    world.TakeOver();
    world.PollAll();
    world.Pass({});
    CPPUNIT_ASSERT(JobState::kFailed != world.StateOf("fails"));
    CPPUNIT_ASSERT(world.Settle(20'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.floor.Starts());
  }

  /** The pattern: a worker ends a task behind a cut and crashes there, so that
   * the end is gone with it. */
  void AnEndThatNobodyHeardOfBeforeTheCrashIsRunAgain()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), 100, false);
    world.Pass({});
    world.cutOff.insert("w0");
    world.Advance(200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         world.floor.workers.at("w0").Ends().size());
    world.RestartWorker("w0");
    CPPUNIT_ASSERT(world.Settle(20'000));
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("task"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.floor.Starts());
    CPPUNIT_ASSERT(world.floor.Violations().empty());
  }

  /** Found on the bench: looks that fail went on to extend the lease that the
   * worker may hold, so its tasks counted as running for ever. */
  void ATaskOnAWorkerThatIsGoneRunsElsewhere()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.PollAll();
    world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), 3000, false);
    world.Pass({});
    const std::string gone =
      world.floor.workers.at("w0").Runs().empty() ? "w1" : "w0";
    world.cutOff.insert(gone);
    world.RestartWorker(gone);
    constexpr std::int64_t kTurnMs = 300;
    constexpr std::int64_t kBoundMs = 2 * SiteWorker::kLongestLeaseMs;
    for (std::int64_t passed = 0; passed < kBoundMs; passed += kTurnMs) {
      world.PollAll();
      world.Pass({});
      world.Advance(kTurnMs);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.floor.Starts());
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("task"));
  }

  void ATaskOfAnEndedLifeRunsElsewhereAtOnce()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.PollAll();
    world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), 3000, false);
    world.Pass({});
    const std::string gone =
      world.floor.workers.at("w0").Runs().empty() ? "w1" : "w0";
    world.ReplaceWorker(gone);
    world.PollAll();
    constexpr std::int64_t kSweepMs = 200;
    world.Advance(kSweepMs);
    world.PollAll();
    world.Pass({});
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.floor.Starts());
    CPPUNIT_ASSERT(world.floor.Violations().empty());
  }

private:
  static std::string RackOf(DomainWorld& aWorld, const WorkerName& aWorker)
  {
    return aWorld.floor.workers.at(aWorker.Text()).rack;
  }

  static bool BeginsWithin(DomainWorld& aWorld,
                           const std::string& aJob,
                           std::int64_t aMs)
  {
    constexpr std::int64_t kTurnMs = 100;
    for (std::int64_t passed = 0; passed < aMs; passed += kTurnMs) {
      aWorld.PollAll();
      aWorld.Pass({});
      const TaskUnit& unit =
        aWorld.Domain().FindJob(JobKey(aJob))->Units().front();
      if (unit.AllRunning()) {
        return true;
      }
      aWorld.Advance(kTurnMs);
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainPassTest);

}
