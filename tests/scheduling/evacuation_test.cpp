#include "contracts/domain_timing_builder.h"
#include "tests/scheduling/domain_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kLongMs = 60'000;
constexpr std::int64_t kBoundMs = 5000;
/** After an evacuation, the holder has read it. */
constexpr std::int64_t kReadMs = 100;
constexpr std::int32_t kWorkersPerRack = 2;

DomainTiming
Timing()
{
  return Valid(DomainTimingBuilder().EvacuateTime(Milliseconds(kBoundMs)));
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

std::size_t
RunsIn(const DomainWorld& aWorld, const std::string& aDataCentre)
{
  std::size_t runs = 0;
  for (const auto& [name, worker] : aWorld.site.workers) {
    runs += worker.dataCentre == aDataCentre ? worker.Runs().size() : 0;
  }
  return runs;
}

std::size_t
AllRuns(const DomainWorld& aWorld)
{
  std::size_t runs = 0;
  for (const auto& [name, worker] : aWorld.site.workers) {
    runs += worker.Runs().size();
  }
  return runs;
}

/** Data centre of the worker on which the job's first task is placed. */
std::string
DataCentreOf(DomainWorld& aWorld, const std::string& aJob)
{
  const auto& units = aWorld.Domain().FindJob(JobKey(aJob))->OpenUnits();
  const WorkerName worker = units.begin()->second.Members().front().worker;
  return aWorld.site.workers.at(worker.Text()).dataCentre;
}

AdmittedJob
Tasks(const std::string& aKey, std::int32_t aCount, std::int32_t aPriority = 1)
{
  return MakeAdmitted(aKey, aPriority, { Valid(QuarterStep(aCount)) });
}

AdmittedJob
Gang(const std::string& aKey, std::int32_t aMembers, std::int32_t aPriority = 1)
{
  return MakeAdmitted(aKey, aPriority, { Valid(WholeWorkerGang(aMembers)) });
}

}

/** Evacuations of one of two data centres of two workers each, during each
 * situation in which the holder starts something. */
class EvacuationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(RunningWorkGoesOnAndNewWorkGoesElsewhere);
  CPPUNIT_TEST(FailedRunIsRunAgainElsewhere);
  CPPUNIT_TEST(GangWithUnsentMemberIsPlacedElsewhere);
  CPPUNIT_TEST(StartStagedDuringStoreOutageIsNotSent);
  CPPUNIT_TEST(UnansweredStartIsRepeatedElsewhere);
  CPPUNIT_TEST(NextHolderKnowsEvacuationBeforeItsFirstStart);
  CPPUNIT_TEST(HostWithOldViewStartsNothing);
  CPPUNIT_TEST(ReservationInEvacuatedDataCentreIsReleased);
  CPPUNIT_TEST(NothingIsStoppedInEvacuatedDataCentreForUrgentJob);
  CPPUNIT_TEST(TaskDoesNotWaitForItsDataInEvacuatedDataCentre);
  CPPUNIT_TEST(DataCentreTakenBackIsUsedAgain);
  CPPUNIT_TEST(UrgentTaskUsesColdWorkersLast);
  CPPUNIT_TEST_SUITE_END();

public:
  void RunningWorkGoesOnAndNewWorkGoesElsewhere()
  {
    DomainWorld world(4, kWorkersPerRack, Timing());
    PollAndPass(world, kReadMs);
    world.Submit(Gang("wide", 4), 8000, false);
    PollAndPass(world, 500);
    world.Evacuate("d0");
    PollAndPass(world, 2000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, RunsIn(world, "d0"));
    world.Submit(Tasks("new", 16), kLongMs, false);
    PollAndPass(world, 2 * kBoundMs);
    CPPUNIT_ASSERT(world.StateOf("wide") == JobState::kFinished);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RunsIn(world, "d0"));
    CPPUNIT_ASSERT(RunsIn(world, "d1") > 0);
    AssertNoViolation(world);
  }

  void FailedRunIsRunAgainElsewhere()
  {
    DomainWorld world(4, kWorkersPerRack, Timing());
    PollAndPass(world, kReadMs);
    world.Submit(Tasks("failing", 16), kBoundMs + 2000, false);
    world.FailFirst("failing", 1, true);
    PollAndPass(world, 500);
    CPPUNIT_ASSERT(RunsIn(world, "d0") > 0);
    world.Evacuate("d0");
    PollAndPass(world, kBoundMs + 4000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RunsIn(world, "d0"));
    CPPUNIT_ASSERT(RunsIn(world, "d1") > 0);
    AssertNoViolation(world);
  }

  /** An evacuation is read between the storing of a gang's places and its
   * orders. The members elsewhere must not wait for those that are not sent. */
  void GangWithUnsentMemberIsPlacedElsewhere()
  {
    DomainWorld world(6, kWorkersPerRack, Timing());
    PollAndPass(world, kReadMs);
    world.isStoreDown = true;
    world.Submit(Gang("gang", 4), kLongMs, false);
    world.Pass({});
    const std::string closed = DataCentreOf(world, "gang");
    world.isStoreDown = false;
    world.Evacuate(closed);
    PollAndPass(world, 2 * kBoundMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RunsIn(world, closed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, AllRuns(world));
    AssertNoViolation(world);
  }

  void StartStagedDuringStoreOutageIsNotSent()
  {
    DomainWorld world(2, 1, Timing());
    PollAndPass(world, kReadMs);
    world.isStoreDown = true;
    world.Submit(Tasks("task", 1), kLongMs, false);
    PollAndPass(world, 1000);
    world.isStoreDown = false;
    const std::string closed = DataCentreOf(world, "task");
    world.Evacuate(closed);
    world.Advance(kBoundMs + kReadMs);
    PollAndPass(world, 2000);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RunsIn(world, closed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, AllRuns(world));
    AssertNoViolation(world);
  }

  void UnansweredStartIsRepeatedElsewhere()
  {
    DomainWorld world(2, 1, Timing());
    PollAndPass(world, kReadMs);
    world.Submit(Tasks("task", 1), kLongMs, false);
    world.Pass({ OrderFault::kLost });
    const std::string closed = DataCentreOf(world, "task");
    world.Evacuate(closed);
    PollAndPass(world, 4 * kBoundMs);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RunsIn(world, closed));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, AllRuns(world));
    AssertNoViolation(world);
  }

  void NextHolderKnowsEvacuationBeforeItsFirstStart()
  {
    DomainWorld world(4, kWorkersPerRack, Timing());
    PollAndPass(world, kReadMs);
    world.Evacuate("d0");
    world.Advance(kBoundMs + kReadMs);
    world.TakeOver();
    world.Submit(Tasks("tasks", 8), kLongMs, false);
    PollAndPass(world, 500);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RunsIn(world, "d0"));
    CPPUNIT_ASSERT(RunsIn(world, "d1") > 0);
    AssertNoViolation(world);
  }

  /** The next holder reaches the workers and stores progress, but has not read
   * the operators' rows since before the evacuation. */
  void HostWithOldViewStartsNothing()
  {
    DomainWorld world(4, kWorkersPerRack, Timing());
    PollAndPass(world, kReadMs);
    world.isNextBlind = true;
    world.Evacuate("d0");
    world.Advance(kBoundMs + kReadMs);
    world.TakeOver();
    world.Submit(Tasks("tasks", 8), kLongMs, false);
    PollAndPass(world, 2000);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, world.site.Starts());
    world.isHolderBlind = false;
    PollAndPass(world, 500);
    CPPUNIT_ASSERT(RunsIn(world, "d1") > 0);
    AssertNoViolation(world);
  }

  /** An urgent gang had runs stopped in a data centre that is then evacuated.
   * It must not wait there until the reservation expires. */
  void ReservationInEvacuatedDataCentreIsReleased()
  {
    DomainWorld world(4, kWorkersPerRack, Timing());
    world.Domain().SetGuarantees({ { TeamName("luthiers"), 16 } });
    PollAndPass(world, kReadMs);
    world.Submit(
      MakeAdmitted("fixed", 1, { Valid(WholeWorkerGang(2)) }), kLongMs, false);
    PollAndPass(world, 200);
    const bool isFixedInFirst = RunsIn(world, "d0") > 0;
    const std::string full = isFixedInFirst ? "d0" : "d1";
    const std::string shared = isFixedInFirst ? "d1" : "d0";
    world.Submit(
      MakeAdmitted("batch", 2, { Valid(QuarterStep(8)) }), kLongMs, false);
    PollAndPass(world, 400);
    world.Submit(Gang("urgent", 2, 0), kLongMs, false);
    // Stops are lost, so the runs to be stopped still hold their resources.
    world.Pass(std::vector<OrderFault>(8, OrderFault::kLost));
    world.Evacuate(shared);
    PollAndPass(world, 1900);
    CPPUNIT_ASSERT(world.StateOf("urgent") == JobState::kRunning);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, RunsIn(world, full));
    AssertNoViolation(world);
  }

  void NothingIsStoppedInEvacuatedDataCentreForUrgentJob()
  {
    for (const char* closed : { "d0", "d1" }) {
      DomainWorld world(4, kWorkersPerRack, Timing());
      world.Domain().SetGuarantees({ { TeamName("luthiers"), 16 } });
      PollAndPass(world, kReadMs);
      world.Submit(Tasks("batch", 16, 2), kLongMs, false);
      PollAndPass(world, 4000);
      const std::size_t running = RunsIn(world, closed);
      world.Evacuate(closed);
      world.Submit(Gang("urgent", 2, 0), kLongMs, false);
      PollAndPass(world, 3000);
      CPPUNIT_ASSERT_EQUAL(running, RunsIn(world, closed));
      CPPUNIT_ASSERT(world.StateOf("urgent") == JobState::kRunning);
      AssertNoViolation(world);
    }
  }

  void TaskDoesNotWaitForItsDataInEvacuatedDataCentre()
  {
    DomainWorld world(4, kWorkersPerRack, Timing());
    PollAndPass(world, kReadMs);
    world.Evacuate("d0");
    PollAndPass(world, kReadMs);
    world.Submit(MakeAdmitted("near",
                              1,
                              { Valid(QuarterStep(1)
                                        .DataRack(RackName("r0"))
                                        .Estimate(Milliseconds(20'000))) }),
                 kLongMs,
                 false);
    PollAndPass(world, 200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RunsIn(world, "d1"));
  }

  void DataCentreTakenBackIsUsedAgain()
  {
    DomainWorld world(4, kWorkersPerRack, Timing());
    PollAndPass(world, kReadMs);
    for (const char* job : { "first", "second" }) {
      world.Evacuate("d0");
      PollAndPass(world, kBoundMs + 500);
      world.Submit(Tasks(job, 16), 1000, false);
      PollAndPass(world, 500);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RunsIn(world, "d0"));
      world.TakeBack("d0");
      PollAndPass(world, 300);
      CPPUNIT_ASSERT(RunsIn(world, "d0") > 0);
      PollAndPass(world, 3000);
      CPPUNIT_ASSERT(world.StateOf(job) == JobState::kFinished);
    }
    AssertNoViolation(world);
  }

  void UrgentTaskUsesColdWorkersLast()
  {
    DomainWorld world(4, kWorkersPerRack, Timing());
    for (const char* name : { "w0", "w1" }) {
      world.Domain().ListWorker(
        MakeListing(name, "r0", false, "d0", Milliseconds(kLongMs)),
        world.Now());
    }
    PollAndPass(world, kReadMs);
    world.Submit(Tasks("urgent", 12, 0), kLongMs, false);
    PollAndPass(world, 200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, RunsIn(world, "d1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, RunsIn(world, "d0"));
  }

private:
  static void AssertNoViolation(const DomainWorld& aWorld)
  {
    for (const std::string& violation : aWorld.site.Violations()) {
      CPPUNIT_FAIL(violation);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}
