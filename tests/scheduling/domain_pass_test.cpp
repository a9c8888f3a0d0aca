#include "contracts/domain_policy_builder.h"
#include "contracts/domain_timing_builder.h"
#include "contracts/job_progress_builder.h"
#include "contracts/progress_limits.h"
#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;
/** By when a guaranteed job must have started; the default of DomainTiming. */
constexpr std::int64_t kReclaimMs = 3000;
/** By when after the last arrival every job must run or have run. */
constexpr std::int64_t kFinishMs = 14'000;
/** How long a job may have nothing running beside ample room. */
constexpr std::int64_t kMaxIdleMs = 3000;
constexpr Milliseconds kLongEstimate{ 20'000 };

/** Submits a batch job of aTasks tasks, each of which needs a quarter of a
 * worker, and runs one scheduling pass. */
void
SubmitBatch(DomainWorld& aWorld, std::int32_t aTasks)
{
  aWorld.PollAll();
  aWorld.Submit(
    MakeAdmitted("batch", 2, { Valid(QuarterStep(aTasks)) }), kLongMs, false);
  aWorld.Pass({});
}

/** Polls all workers and runs a pass every 100 ms for aMs milliseconds. */
void
PollAndPass(DomainWorld& aWorld, std::int64_t aMs)
{
  constexpr std::int64_t kIntervalMs = 100;
  for (std::int64_t passed = 0; passed < aMs; passed += kIntervalMs) {
    aWorld.PollAll();
    aWorld.Pass({});
    aWorld.Advance(kIntervalMs);
  }
}

/** Starts a long task and polls its worker for a second; returns the name of
 * the worker. */
std::string
StartTaskAndPoll(DomainWorld& aWorld)
{
  aWorld.PollAll();
  aWorld.PollAll();
  aWorld.Submit(
    MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), kLongMs, false);
  PollAndPass(aWorld, 1000);
  return aWorld.site.workers.at("w0").Runs().empty() ? "w1" : "w0";
}

/** Time in milliseconds until the site has counted aStarts starts. */
std::int64_t
TimeUntilStart(DomainWorld& aWorld, std::int64_t aStarts)
{
  constexpr std::int64_t kIntervalMs = 100;
  constexpr std::int64_t kLimitMs = 60'000;
  std::int64_t waitedMs = 0;
  while (aWorld.site.Starts() < aStarts && waitedMs < kLimitMs) {
    PollAndPass(aWorld, kIntervalMs);
    waitedMs += kIntervalMs;
  }
  return waitedMs;
}

std::int64_t
PendingIn(DomainWorld& aWorld)
{
  const auto pending = aWorld.Domain().Pending();
  const auto found = pending.find(QueueName("queue-1"));
  return found == pending.end() ? 0 : found->second;
}

}

/** Scheduling passes under patterns of load and of faults; each test is named
 * for the expected result. */
class DomainPassTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DomainPassTest);
  CPPUNIT_TEST(TaskOfWorkerAndHolderLostTogetherRunsWithinRestartTime);
  CPPUNIT_TEST(TaskOfWorkerThatLeftRunsAgainWithinThreeSeconds);
  CPPUNIT_TEST(PlannedHandOverAddsNoGraceTimeForLostWorker);
  CPPUNIT_TEST(SmallTasksArePackedSoThatGangsFindEmptyWorkers);
  CPPUNIT_TEST(GangThatDoesNotFitStartsNoMember);
  CPPUNIT_TEST(GangPreferringOneRackWaitsForIt);
  CPPUNIT_TEST(GangPreferringOneRackStartsInAmpleRoomAfterLastArrival);
  CPPUNIT_TEST(GangPreferringOneRackWaitsForItWhileJobsArrive);
  CPPUNIT_TEST(TaskAwayFromItsDataStartsInAmpleRoomAfterLastArrival);
  CPPUNIT_TEST(BatchTaskStartsInHeadroomAfterLastArrival);
  CPPUNIT_TEST(EndlessTaskStartsInHeadroomWhileJobsArrive);
  CPPUNIT_TEST(EndlessTasksOfRestartedWorkerReturnTogether);
  CPPUNIT_TEST(NewEndlessTasksStartTogetherInHeadroom);
  CPPUNIT_TEST(EndlessTaskThatFailsIsRestartedWithPauses);
  CPPUNIT_TEST(EndlessTaskIsStartedAgainHoweverItEnds);
  CPPUNIT_TEST(EndlessJobThatAnEarlierVersionTookForDoneIsRestarted);
  CPPUNIT_TEST(GangLargerThanRackSpansRacks);
  CPPUNIT_TEST(GuaranteedJobPreemptsBurstOfBatchWork);
  CPPUNIT_TEST(BatchWorkLeavesHeadroomForUrgentJobs);
  CPPUNIT_TEST(BatchWorkCloseToBeingLateLeavesLessHeadroom);
  CPPUNIT_TEST(JobBeyondGuaranteeDoesNotPreemptCostlyWork);
  CPPUNIT_TEST(StepWaitsForItsDependencies);
  CPPUNIT_TEST(MaxTasksPerWorkerIsRespected);
  CPPUNIT_TEST(LeavingWorkerGetsNoNewTasks);
  CPPUNIT_TEST(WorkerWithFailedPollGetsNoNewTasks);
  CPPUNIT_TEST(RepeatedlyFailingWorkerIsUsedLast);
  CPPUNIT_TEST(JobWhoseStartIsRefusedStaysPending);
  CPPUNIT_TEST(JobStartedWithoutAnswerIsPendingUntilItIsReported);
  CPPUNIT_TEST(RefusingWorkerIsTriedLessAndLessOften);
  CPPUNIT_TEST(JobOpensNoMoreTasksThanItsProgressMayList);
  CPPUNIT_TEST(TakeoverKeepsRunningTasks);
  CPPUNIT_TEST(HolderAfterTakeoverPreemptsYoungestRun);
  CPPUNIT_TEST(StaleEndNumberIsNotAcknowledgedAfterWorkerRestart);
  CPPUNIT_TEST(StalledHolderDoesNotAcknowledgeStaleEndNumber);
  CPPUNIT_TEST(FailureReportedAgainAfterTakeoverCountsOnce);
  CPPUNIT_TEST(UnreportedEndBeforeWorkerCrashIsRerun);
  CPPUNIT_TEST(EndBeyondTruncatedReportIsNotRerun);
  CPPUNIT_TEST(TaskOfUnreachableWorkerIsRerunElsewhere);
  CPPUNIT_TEST(RunsOfSilentWorkerAreReportedWhenGivenUp);
  CPPUNIT_TEST(TaskOfReplacedWorkerIsRerunElsewhereAtOnce);
  CPPUNIT_TEST(AlikeWorkersGetTheSameTasksWhetherMeasuredOrNot);
  CPPUNIT_TEST_SUITE_END();

public:
  // Tasks and gangs of two queues come and go for a while on twelve workers.
  void AlikeWorkersGetTheSameTasksWhetherMeasuredOrNot()
  {
    std::vector<std::map<std::string, std::set<std::string>>> placed[2];
    for (const bool isMeasured : { false, true }) {
      DomainWorld world(12, 4);
      world.policy = Valid(DomainPolicyBuilder()
                             .IsPaceUsed(isMeasured)
                             .AreKindsSeparated(isMeasured));
      for (int round = 0; round < 20; ++round) {
        const std::string number = std::to_string(round);
        world.Submit(
          MakeAdmitted("task" + number, 1, { Valid(QuarterStep(5)) }),
          2000 + 300 * (round % 4),
          false);
        world.Submit(MakeAdmitted("gang" + number,
                                  0,
                                  { Valid(QuarterStep(3).IsGang(true)) }),
                     1500,
                     false);
        PollAndPass(world, 1000);
        auto& runs = placed[isMeasured ? 1 : 0].emplace_back();
        for (const auto& [name, worker] : world.site.workers) {
          for (const auto& [task, run] : worker.Runs()) {
            runs[name].insert(task);
          }
        }
      }
    }
    CPPUNIT_ASSERT(!placed[0].back().empty());
    CPPUNIT_ASSERT(placed[0] == placed[1]);
  }

  void SmallTasksArePackedSoThatGangsFindEmptyWorkers()
  {
    DomainWorld world(5, 5);
    world.Submit(
      MakeAdmitted("small", 2, { Valid(QuarterStep(8)) }), kLongMs, false);
    world.PollAll();
    world.Pass({});
    world.Submit(
      MakeAdmitted("gang", 1, { Valid(WholeWorkerGang(2)) }), kLongMs, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 10 }, world.site.Starts());
  }

  void GangThatDoesNotFitStartsNoMember()
  {
    DomainWorld world(3, 3);
    world.PollAll();
    world.Submit(
      MakeAdmitted("gang", 1, { Valid(WholeWorkerGang(4)) }), 1000, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, world.site.Starts());
  }

  void GangPreferringOneRackWaitsForIt()
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
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
    world.Advance(1000);
    world.PollAll();
    world.Pass({});
    const auto& members =
      world.Domain().FindJob(JobKey("tight"))->Open(0).Members();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, members.size());
    CPPUNIT_ASSERT_EQUAL(RackOf(world, members[0].worker),
                         RackOf(world, members[1].worker));
  }

  // A gang whose declared run time is long waited for one rack for as long as
  // its objective allows, with nothing running, although most of the fleet was
  // free and no more jobs arrived.
  void GangPreferringOneRackStartsInAmpleRoomAfterLastArrival()
  {
    DomainWorld world(8, 2);
    SubmitGangWithoutFreeRack(world);
    CPPUNIT_ASSERT(StartsWithin(world, "tight", kFinishMs));
  }

  // A gang that started across racks while other jobs arrived would take
  // several times the room from them, and be late itself.
  void GangPreferringOneRackWaitsForItWhileJobsArrive()
  {
    DomainWorld world(8, 2);
    SubmitGangWithoutFreeRack(world);
    for (std::int64_t arrival = 0; arrival < kFinishMs / 1000; ++arrival) {
      SubmitWithoutAccelerators(world, arrival);
      CPPUNIT_ASSERT(!StartsWithin(world, "tight", 1000));
    }
  }

  // A task waited for the full rack of its data in the same way.
  void TaskAwayFromItsDataStartsInAmpleRoomAfterLastArrival()
  {
    DomainWorld world(4, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("full", 1, { Valid(WholeWorkerGang(1).Label("r0")) }),
      kLongMs,
      false);
    world.Pass({});
    world.Submit(MakeAdmitted("far",
                              1,
                              { Valid(WholeWorkerGang(1)
                                        .IsGang(false)
                                        .DataRack(RackName("r0"))
                                        .Estimate(kLongEstimate)) }),
                 kLongMs,
                 false);
    CPPUNIT_ASSERT(StartsWithin(world, "far", kFinishMs));
  }

  // Batch work was kept out of the headroom for urgent jobs although no more
  // jobs arrived and most of the fleet's cores were free.
  void BatchTaskStartsInHeadroomAfterLastArrival()
  {
    DomainWorld world(4, 4);
    SubmitUrgentWork(world, 10);
    world.Submit(
      MakeAdmitted(
        "batch", 2, { Valid(QuarterStep(1).Estimate(kLongEstimate)) }),
      kLongMs,
      false);
    CPPUNIT_ASSERT(StartsWithin(world, "batch", kFinishMs));
  }

  // A task that never ends by itself must run at any time if there is room for
  // it twice over, however full the fleet is; it waited for headroom for ever.
  void EndlessTaskStartsInHeadroomWhileJobsArrive()
  {
    DomainWorld world(4, 4);
    SubmitUrgentWork(world, 14);
    world.Submit(
      MakeAdmitted("endless", 1, { Valid(QuarterStep(1).IsEndless(true)) }),
      kLongMs,
      false);
    CPPUNIT_ASSERT(StartsWithin(world, "endless", kMaxIdleMs));
  }

  // Load: endless tasks in the headroom, all on one worker. When it restarted,
  // they were started one by one, each after a wait of its own.
  void EndlessTasksOfRestartedWorkerReturnTogether()
  {
    constexpr std::int32_t kTasks = 4;
    DomainWorld world(6, 6);
    SubmitEndlessInHeadroom(world, kTasks);
    PollAndPass(world, 2 * kMaxIdleMs);
    CPPUNIT_ASSERT_EQUAL(kTasks, RunsOf(world, "endless"));
    std::string worker = "w0";
    for (const std::string& name : world.Workers()) {
      const auto& runs = world.site.workers.at(name).Runs();
      worker = !runs.empty() && runs.begin()->first.starts_with("endless")
                 ? name
                 : worker;
    }
    world.RestartWorker(worker);
    PollAndPass(world, kMaxIdleMs);
    CPPUNIT_ASSERT_EQUAL(kTasks, RunsOf(world, "endless"));
    CPPUNIT_ASSERT(world.site.Violations().empty());
  }

  void NewEndlessTasksStartTogetherInHeadroom()
  {
    constexpr std::int32_t kTasks = 4;
    DomainWorld world(6, 6);
    SubmitEndlessInHeadroom(world, kTasks);
    PollAndPass(world, kMaxIdleMs);
    CPPUNIT_ASSERT_EQUAL(kTasks, RunsOf(world, "endless"));
  }

  // A task that fails by its own fault at once must not take the headroom again
  // and again.
  void EndlessTaskThatFailsIsRestartedWithPauses()
  {
    DomainWorld world(6, 6);
    SubmitEndlessInHeadroom(world, 1, 300);
    world.FailFirst("endless", 100, false);
    const std::int64_t starts = world.site.Starts();
    constexpr std::int64_t kObservedMs = 12'000;
    constexpr std::int64_t kMaxStarts = kObservedMs / 2000;
    PollAndPass(world, kObservedMs);
    CPPUNIT_ASSERT(world.site.Starts() > starts + 1);
    CPPUNIT_ASSERT_LESSEQUAL(starts + kMaxStarts, world.site.Starts());
  }

  // An end as done was taken for the end of the task: it was not started again,
  // and the job that nobody had cancelled was shown as completed.
  void EndlessTaskIsStartedAgainHoweverItEnds()
  {
    for (const bool fails : { false, true }) {
      DomainWorld world(2, 2);
      world.Submit(
        MakeAdmitted("endless", 1, { Valid(QuarterStep(2).IsEndless(true)) }),
        1000,
        fails);
      PollAndPass(world, 12'000);
      CPPUNIT_ASSERT(JobState::kRunning == world.StateOf("endless"));
      CPPUNIT_ASSERT(world.site.Starts() > 8);
      CPPUNIT_ASSERT(world.site.Violations().empty());
    }
  }

  void EndlessJobThatAnEarlierVersionTookForDoneIsRestarted()
  {
    TrackedJob job(
      MakeAdmitted("endless", 1, { Valid(QuarterStep(2).IsEndless(true)) }),
      Instant());
    job.Restore(Valid(JobProgressBuilder()
                        .Queue(QueueName("queue-1"))
                        .State(JobState::kRunning)
                        .Marks("D")));
    CPPUNIT_ASSERT(!job.IsDone(0));
  }

  void GangLargerThanRackSpansRacks()
  {
    DomainWorld world(4, 2);
    world.PollAll();
    world.Submit(
      MakeAdmitted(
        "wide", 1, { Valid(WholeWorkerGang(3).PrefersOneRack(true)) }),
      1000,
      false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, world.site.Starts());
  }

  void GuaranteedJobPreemptsBurstOfBatchWork()
  {
    DomainWorld world(2, 2);
    world.Domain().SetGuarantees({ { TeamName("luthiers"), 16 } });
    SubmitBatch(world, 8);
    world.Submit(
      MakeAdmitted("urgent", 0, { Valid(WholeWorkerGang(1)) }), 1000, false);
    CPPUNIT_ASSERT(StartsWithin(world, "urgent", kReclaimMs));
    // Five batch tasks fit beside the headroom, and the gang starts; only the
    // runs on the worker that the gang needs were preempted.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 6 }, world.site.Starts());
  }

  void BatchWorkLeavesHeadroomForUrgentJobs()
  {
    DomainWorld world(4, 2);
    SubmitBatch(world, 16);
    // 42% of 32 accelerators are 13, so that 19 are left for tasks of two.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 9 }, world.site.Starts());
    world.Submit(
      MakeAdmitted("urgent", 0, { Valid(WholeWorkerGang(1)) }), 1000, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 10 }, world.site.Starts());
  }

  void BatchWorkCloseToBeingLateLeavesLessHeadroom()
  {
    DomainWorld world(4, 2);
    SubmitBatch(world, 16);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 9 }, world.site.Starts());
    // The slack of its objective is 3 s.
    for (int round = 0; round < 11; ++round) {
      world.PollAll();
      world.Advance(200);
    }
    world.PollAll();
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 9 }, world.site.Starts());
    world.Advance(100);
    world.PollAll();
    world.Pass({});
    // A tenth of 32 accelerators is 3; 11 of the 14 free ones are left.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 14 }, world.site.Starts());
  }

  void JobBeyondGuaranteeDoesNotPreemptCostlyWork()
  {
    DomainWorld world(2, 2);
    world.Domain().SetGuarantees({ { TeamName("luthiers"), 4 } });
    world.PollAll();
    world.Submit(
      MakeAdmitted("other", 1, { Valid(WholeWorkerGang(1)) }), kLongMs, false);
    world.Pass({});
    // The work that would be lost exceeds the total work of the urgent job.
    for (int round = 0; round < 20; ++round) {
      world.PollAll();
      world.Advance(200);
    }
    world.Submit(
      MakeAdmitted("urgent", 0, { Valid(WholeWorkerGang(2)) }), 1000, false);
    CPPUNIT_ASSERT(!StartsWithin(world, "urgent", kReclaimMs));
  }

  void StepWaitsForItsDependencies()
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
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
    CPPUNIT_ASSERT(world.Settle(10'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 5 }, world.site.Starts());
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("steps"));
  }

  void MaxTasksPerWorkerIsRespected()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.Submit(
      MakeAdmitted("apart", 1, { Valid(QuarterStep(4).MaxTasksPerWorker(1)) }),
      kLongMs,
      false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
  }

  void LeavingWorkerGetsNoNewTasks()
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
    CPPUNIT_ASSERT(world.site.workers.at("w0").Runs().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 },
                         world.site.workers.at("w1").Runs().size());
  }

  /** While many workers restart, gangs that are placed on one of them lose the
   * work of all their members. What runs on a silent worker stays. */
  void WorkerWithFailedPollGetsNoNewTasks()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.Submit(
      MakeAdmitted("before", 0, { Valid(WholeWorkerGang(1)) }), 9000, false);
    world.Pass({});
    const std::string silent =
      world.site.workers.at("w0").Runs().empty() ? "w0" : "w1";
    const std::string busy = silent == "w0" ? "w1" : "w0";
    world.Poll(silent, OrderFault::kLost);
    world.Poll(busy, OrderFault::kLost);
    world.Submit(
      MakeAdmitted("after", 0, { Valid(WholeWorkerGang(1)) }), 1000, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, world.site.Starts());
    world.Poll(silent, OrderFault::kAnswered);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         world.site.workers.at(busy).Runs().size());
  }

  void RepeatedlyFailingWorkerIsUsedLast()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    TrackedWorker& failing = *world.Domain().FindWorker(WorkerName("w0"));
    failing.NoteFailure(JobKey("a"), world.Now());
    failing.NoteFailure(JobKey("b"), world.Now());
    world.Submit(
      MakeAdmitted("tasks", 1, { Valid(QuarterStep(4)) }), kLongMs, false);
    world.Pass({});
    CPPUNIT_ASSERT(world.site.workers.at("w0").Runs().empty());
  }

  /** An unhealthy worker refuses the start. The job once counted as started,
   * and not as pending, from its placement on. */
  void JobWhoseStartIsRefusedStaysPending()
  {
    DomainWorld world(1, 1);
    world.site.workers.at("w0").isUnhealthy = true;
    world.PollAll();
    world.Submit(
      MakeAdmitted("job", 1, { Valid(QuarterStep(1)) }), 1000, false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, PendingIn(world));
    world.Advance(50);
    world.Pass({});
    CPPUNIT_ASSERT(JobState::kAdmitted == world.StateOf("job"));
    world.TakeOver();
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, PendingIn(world));
    world.site.workers.at("w0").isUnhealthy = false;
    CPPUNIT_ASSERT(world.Settle(20'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, PendingIn(world));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, world.site.Starts());
  }

  void JobStartedWithoutAnswerIsPendingUntilItIsReported()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("job", 1, { Valid(QuarterStep(1)) }), kLongMs, false);
    world.Pass({ OrderFault::kUnanswered });
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, PendingIn(world));
    world.Advance(100);
    world.PollAll();
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, PendingIn(world));
    CPPUNIT_ASSERT(JobState::kRunning == world.StateOf("job"));
  }

  /** A refused start was once repeated in each pass on the same worker. */
  void RefusingWorkerIsTriedLessAndLessOften()
  {
    constexpr std::int64_t kSeconds = 6;
    constexpr std::int64_t kMaxRefusals = 10;
    DomainWorld world(1, 1);
    SiteWorker& worker = world.site.workers.at("w0");
    worker.isUnhealthy = true;
    world.Submit(
      MakeAdmitted("job", 1, { Valid(QuarterStep(1)) }), 1000, false);
    for (std::int64_t pass = 0; pass < kSeconds * 20; ++pass) {
      world.PollAll();
      world.Pass({});
      world.Advance(50);
    }
    CPPUNIT_ASSERT(worker.refusedStarts > kSeconds);
    CPPUNIT_ASSERT(worker.refusedStarts <= kMaxRefusals);
    worker.isUnhealthy = false;
    CPPUNIT_ASSERT(world.Settle(5000));
  }

  /** Progress lists every open task, and a transaction that stores it has a
   * limit. The other tasks start as open ones are done. */
  void JobOpensNoMoreTasksThanItsProgressMayList()
  {
    constexpr std::int32_t kTasks = kMaxOpenTasks + 500;
    DomainWorld world(10, 10);
    world.PollAll();
    world.Submit(MakeAdmitted("wide",
                              2,
                              { Valid(JobStepBuilder()
                                        .Count(kTasks)
                                        .Need(MakeResources(100, 64, 0))
                                        .Estimate(Milliseconds(500))) }),
                 500,
                 false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(kMaxOpenTasks, world.site.Starts());
    CPPUNIT_ASSERT(world.Settle(20'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ kTasks }, world.site.Starts());
    CPPUNIT_ASSERT(world.site.Violations().empty());
  }

  void TakeoverKeepsRunningTasks()
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
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, world.site.Starts());
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("gang"));
  }

  /** Guards against preempting old runs after a takeover during a burst: the
   * new holder has no start times for the runs that it inherits, so it must
   * rank them by their reported progress. */
  void HolderAfterTakeoverPreemptsYoungestRun()
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
    world.Pass({}); // The first task takes the free resources.
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(0, AbandonedUnits(world, "a-old"));
    CPPUNIT_ASSERT_EQUAL(1, AbandonedUnits(world, "b-young"));
  }

  /** Found by DomainFuzzTest: the holder acknowledged an end with a number from
   * before the restart, so the restarted worker dropped its first end
   * unreported, and the task ran again. */
  void StaleEndNumberIsNotAcknowledgedAfterWorkerRestart()
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
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
    CPPUNIT_ASSERT(world.site.Violations().empty());
  }

  void StalledHolderDoesNotAcknowledgeStaleEndNumber()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("first", 1, { Valid(QuarterStep(1)) }), 100, false);
    world.Pass({});
    world.Advance(200);
    world.PollAll();
    world.Pass({});
    world.isHolderStalled = true;
    world.RestartWorker("w0");
    constexpr std::int64_t kStallMs = 1500;
    world.Advance(kStallMs);
    const WorkerName worker("w0");
    CPPUNIT_ASSERT_EQUAL(
      std::int64_t{ 0 },
      world.Domain().AcknowledgeableEnd(worker, world.Now()));
  }

  void FailureReportedAgainAfterTakeoverCountsOnce()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("fails", 1, { Valid(QuarterStep(1)) }, 2), 100, true);
    world.Pass({});
    world.Advance(200);
    // The failure is stored, but the holder is replaced before it acknowledges
    // the end.
    world.PollAll();
    world.Pass({});
    world.TakeOver();
    world.PollAll();
    world.Pass({});
    CPPUNIT_ASSERT(JobState::kFailed != world.StateOf("fails"));
    CPPUNIT_ASSERT(world.Settle(20'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
  }

  /** A worker that is cut off ends a task and crashes before it can report the
   * end, so the end is lost. */
  /** While the store is down no end can be acknowledged, so that a worker with
   * more than 500 ended runs lists only the first 500 of them. The others were
   * once taken for lost and run again. */
  void EndBeyondTruncatedReportIsNotRerun()
  {
    constexpr std::int32_t kTasks = 600;
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(MakeAdmitted("many",
                              2,
                              { Valid(JobStepBuilder()
                                        .Count(kTasks)
                                        .Need(MakeResources(100, 64, 0))
                                        .Estimate(Milliseconds(500))) }),
                 500,
                 false);
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ kTasks }, world.site.Starts());
    world.PollAll();
    world.isStoreDown = true;
    world.Advance(1000);
    world.PollAll();
    world.Pass({});
    CPPUNIT_ASSERT(world.Settle(20'000));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ kTasks }, world.site.Starts());
    CPPUNIT_ASSERT(world.site.Violations().empty());
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("many"));
  }

  void UnreportedEndBeforeWorkerCrashIsRerun()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), 100, false);
    world.Pass({});
    world.cutOff.insert("w0");
    world.Advance(200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         world.site.workers.at("w0").Ends().size());
    world.RestartWorker("w0");
    CPPUNIT_ASSERT(world.Settle(20'000));
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("task"));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
    CPPUNIT_ASSERT(world.site.Violations().empty());
  }

  /** Found on the bench: failed polls kept extending the lease that the worker
   * might hold, so its tasks counted as running for ever. */
  void TaskOfUnreachableWorkerIsRerunElsewhere()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.PollAll();
    world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), 3000, false);
    world.Pass({});
    const std::string failed =
      world.site.workers.at("w0").Runs().empty() ? "w1" : "w0";
    world.cutOff.insert(failed);
    world.RestartWorker(failed);
    constexpr std::int64_t kPassIntervalMs = 300;
    constexpr std::int64_t kBoundMs = 2 * SiteWorker::kMaxLeaseMs;
    for (std::int64_t passed = 0; passed < kBoundMs;
         passed += kPassIntervalMs) {
      world.PollAll();
      world.Pass({});
      world.Advance(kPassIntervalMs);
    }
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
    CPPUNIT_ASSERT(JobState::kFinished == world.StateOf("task"));
  }

  // Failure: the task of a worker that is gone waits for a lease of 10 s, and
  // 4 s more when the holder is lost as well, with most of the room free.
  void TaskOfWorkerAndHolderLostTogetherRunsWithinRestartTime()
  {
    constexpr Milliseconds kRestartTime{ 14'000 };
    DomainWorld world(2,
                      2,
                      Valid(DomainTimingBuilder()
                              .HolderLease(Milliseconds(2000))
                              .WorkerLease(Milliseconds(10'000))
                              .RestartTime(kRestartTime)));
    const std::string lost = StartTaskAndPoll(world);
    world.RemoveWorker(lost);
    // The next holder takes over when the lease of the lost one has expired.
    constexpr std::int64_t kTakeoverMs = 3000;
    world.Advance(kTakeoverMs);
    world.TakeOver();
    const std::int64_t waitedMs = kTakeoverMs + TimeUntilStart(world, 2);
    CPPUNIT_ASSERT_LESSEQUAL(std::int64_t{ kRestartTime.count() }, waitedMs);
    CPPUNIT_ASSERT(world.site.Violations().empty());
  }

  // Failure: the task of a worker that drained and left waits for the rest of a
  // lease that was renewed until the worker's exit.
  void TaskOfWorkerThatLeftRunsAgainWithinThreeSeconds()
  {
    DomainWorld world(2,
                      2,
                      Valid(DomainTimingBuilder()
                              .WorkerLease(Milliseconds(10'000))
                              .RestartTime(Milliseconds(14'000))));
    const std::string leaving = StartTaskAndPoll(world);
    world.DrainWorker(leaving);
    PollAndPass(world, 9000);
    world.RemoveWorker(leaving);
    CPPUNIT_ASSERT_LESSEQUAL(std::int64_t{ 3000 }, TimeUntilStart(world, 2));
  }

  // Failure: a planned stop of the holder adds the grace time of a lost holder
  // to the wait for a worker that is gone.
  void PlannedHandOverAddsNoGraceTimeForLostWorker()
  {
    const DomainTiming timing;
    DomainWorld world(2, 2, timing);
    const std::string lost = StartTaskAndPoll(world);
    world.RemoveWorker(lost);
    world.TakeOver(true);
    constexpr std::int64_t kSlackMs = 1000;
    CPPUNIT_ASSERT_LESSEQUAL(timing.GrantedLease().count() + kSlackMs,
                             TimeUntilStart(world, 2));
    CPPUNIT_ASSERT(world.site.Violations().empty());
  }

  // Failure: nothing shows for how long a task was without a run because its
  // worker was silent.
  void RunsOfSilentWorkerAreReportedWhenGivenUp()
  {
    DomainWorld world(1, 1);
    world.PollAll();
    world.PollAll();
    world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), kLongMs, false);
    world.Pass({});
    world.cutOff.insert("w0");
    constexpr std::int64_t kPassIntervalMs = 100;
    constexpr std::int64_t kBoundMs = 2 * SiteWorker::kMaxLeaseMs;
    for (std::int64_t passed = 0; passed < kBoundMs && world.givenUp.empty();
         passed += kPassIntervalMs) {
      world.PollAll();
      world.Pass({});
      world.Advance(kPassIntervalMs);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.givenUp.size());
    const GivenUpRuns& givenUp = world.givenUp.front();
    CPPUNIT_ASSERT(WorkerName("w0") == givenUp.worker);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, givenUp.runs);
    CPPUNIT_ASSERT(givenUp.silent >= Milliseconds(1000));
    CPPUNIT_ASSERT(givenUp.silent <= Milliseconds(kBoundMs));
  }

  void TaskOfReplacedWorkerIsRerunElsewhereAtOnce()
  {
    DomainWorld world(2, 2);
    world.PollAll();
    world.PollAll();
    world.Submit(
      MakeAdmitted("task", 1, { Valid(QuarterStep(1)) }), 3000, false);
    world.Pass({});
    const std::string failed =
      world.site.workers.at("w0").Runs().empty() ? "w1" : "w0";
    world.ReplaceWorker(failed);
    world.PollAll();
    constexpr std::int64_t kSweepMs = 200;
    world.Advance(kSweepMs);
    world.PollAll();
    world.Pass({});
    world.Pass({});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 2 }, world.site.Starts());
    CPPUNIT_ASSERT(world.site.Violations().empty());
  }

private:
  /** Submits a gang of two whole workers that prefers one rack, to a fleet of
   * racks of two workers of which one has a small task. */
  static void SubmitGangWithoutFreeRack(DomainWorld& aWorld)
  {
    aWorld.PollAll();
    for (const char* rack : { "r0", "r1", "r2", "r3" }) {
      aWorld.Submit(
        MakeAdmitted(rack, 1, { Valid(QuarterStep(1).Label(rack)) }),
        kLongMs,
        false);
    }
    aWorld.Pass({});
    aWorld.Submit(
      MakeAdmitted("tight",
                   1,
                   { Valid(WholeWorkerGang(2).PrefersOneRack(true).Estimate(
                     kLongEstimate)) }),
      kLongMs,
      false);
  }

  /** Submits urgent tasks that need two accelerators and hardly any cores. */
  static void SubmitUrgentWork(DomainWorld& aWorld, std::int32_t aTasks)
  {
    aWorld.PollAll();
    aWorld.Submit(MakeAdmitted("urgent",
                               0,
                               { Valid(QuarterStep(aTasks).Need(
                                 MakeResources(1000, 1000, 2))) }),
                  kLongMs,
                  false);
    aWorld.Pass({});
  }

  /** Fills six workers up to the headroom for batch work, and submits endless
   * batch tasks beside it. */
  static void SubmitEndlessInHeadroom(DomainWorld& aWorld,
                                      std::int32_t aTasks,
                                      std::int64_t aWorkMs = kLongMs)
  {
    SubmitUrgentWork(aWorld, 16);
    aWorld.Submit(
      MakeAdmitted(
        "endless",
        2,
        { Valid(QuarterStep(aTasks).IsEndless(true).Estimate(kLongEstimate)) }),
      aWorkMs,
      false);
  }

  static std::int32_t RunsOf(const DomainWorld& aWorld, const std::string& aJob)
  {
    std::int32_t runs = 0;
    for (const auto& [name, worker] : aWorld.site.workers) {
      for (const auto& [task, run] : worker.Runs()) {
        runs += task.starts_with(aJob) ? 1 : 0;
      }
    }
    return runs;
  }

  static void SubmitWithoutAccelerators(DomainWorld& aWorld,
                                        std::int64_t aNumber)
  {
    aWorld.Submit(MakeAdmitted("arrival-" + std::to_string(aNumber),
                               1,
                               { Valid(QuarterStep(1).Need(
                                 MakeResources(1000, 1000, 0))) }),
                  500,
                  false);
  }

  static std::string RackOf(DomainWorld& aWorld, const WorkerName& aWorker)
  {
    return aWorld.site.workers.at(aWorker.Text()).rack;
  }

  static int AbandonedUnits(DomainWorld& aWorld, const std::string& aJob)
  {
    TrackedJob& job = *aWorld.Domain().FindJob(JobKey(aJob));
    int abandoned = 0;
    for (std::int32_t number = 0; number < job.UnitCount(); ++number) {
      abandoned += job.Open(number).Abandoned() ? 1 : 0;
    }
    return abandoned;
  }

  static bool StartsWithin(DomainWorld& aWorld,
                           const std::string& aJob,
                           std::int64_t aMs)
  {
    constexpr std::int64_t kPassIntervalMs = 100;
    for (std::int64_t passed = 0; passed < aMs; passed += kPassIntervalMs) {
      aWorld.PollAll();
      aWorld.Pass({});
      const TaskUnit& unit = aWorld.Domain().FindJob(JobKey(aJob))->Open(0);
      if (unit.AllRunning()) {
        return true;
      }
      aWorld.Advance(kPassIntervalMs);
    }
    return false;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DomainPassTest);

}
