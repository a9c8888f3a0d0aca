#include "machines/accelerator_range_builder.h"
#include "tests/zones/sample_values.h"
#include "zones/admission.h"
#include "zones/data_centre_builder.h"
#include "zones/gang_placement_builder.h"
#include "zones/guarantee_packing.h"
#include "zones/schedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

class ScheduleTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ScheduleTest);
  CPPUNIT_TEST(GuaranteedJobPreemptsBorrowedGangsOfOneRack);
  CPPUNIT_TEST(SmallGangsFillOneWorkerBeforeOthers);
  CPPUNIT_TEST(GangThatOutlastsReservationCannotUseIt);
  CPPUNIT_TEST(LargeGangPreemptsSmallOnesOnceItsWaitExceedsLostWork);
  CPPUNIT_TEST(JobThatCanNeverRunIsRefusedWithReason);
  CPPUNIT_TEST(GuaranteesThatExceedTheRacksAreRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  void GuaranteedJobPreemptsBorrowedGangsOfOneRack()
  {
    const std::vector<Team> teams = {
      MakeTeam("lender", 16, { { MakeShape(2, 4), 1 } }),
      MakeTeam("borrower", 16, {})
    };
    std::vector<WaitingJob> fill;
    fill.reserve(16);
    for (int job = 0; job < 16; ++job) {
      fill.push_back(MakeWaiting(
        "borrower", "small-" + std::to_string(job), MakeShape(1, 1), kStart));
    }
    const ScheduleDecision filled =
      Schedule(Load(teams, {}), fill, PlacementWeights(), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 16 }, filled.Starts().size());
    std::vector<RunningGang> running;
    for (const GangStart& start : filled.Starts()) {
      running.push_back(
        MakeRunning(start.Request(), start.Placement(), kStart));
    }
    const WaitingJob guaranteedJob =
      MakeWaiting("lender", "claim", MakeShape(2, 4), kStart);
    const ScheduleDecision decision = Schedule(
      Load(teams, running), { guaranteedJob }, PlacementWeights(), kStart);
    CPPUNIT_ASSERT(decision.Starts().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, decision.Preemptions().size());
    for (const Preemption& preemption : decision.Preemptions()) {
      std::erase_if(running, [&](const RunningGang& aGang) {
        return aGang.Key() == preemption.Key();
      });
    }
    const ScheduleDecision decisionAfterStops = Schedule(
      Load(teams, running), { guaranteedJob }, PlacementWeights(), kStart);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, decisionAfterStops.Starts().size());
  }

  void SmallGangsFillOneWorkerBeforeOthers()
  {
    const std::vector<Team> teams = { MakeTeam("one", 16, {}) };
    std::vector<RunningGang> running;
    std::vector<RackName> racks;
    for (int job = 0; job < 4; ++job) {
      const WaitingJob small = MakeWaiting(
        "one", "small-" + std::to_string(job), MakeShape(1, 1), kStart);
      const ScheduleDecision decision =
        Schedule(Load(teams, running), { small }, PlacementWeights(), kStart);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, decision.Starts().size());
      const GangStart& start = decision.Starts().front();
      running.push_back(
        MakeRunning(start.Request(), start.Placement(), kStart));
    }
    // All four fill one worker; the other three stay entirely free for large
    // gangs.
    for (const RunningGang& gang : running) {
      CPPUNIT_ASSERT(gang.Placement().Members().front().Worker() ==
                     running.front().Placement().Members().front().Worker());
    }
  }

  void GangThatOutlastsReservationCannotUseIt()
  {
    const std::vector<Team> teams = { MakeTeam("one", 64, {}) };
    // An urgent gang, which is not stopped for a large one, occupies one worker
    // of each rack for an hour, so the large gang waits.
    std::vector<RunningGang> running;
    for (const char* key : { "first", "second" }) {
      const WaitingJob job =
        MakeWaiting("one", key, MakeShape(1, 4), kStart, true);
      const GangPlacement place = BuildValid(
        GangPlacementBuilder()
          .Rack(RackName(running.empty() ? "rack-1000" : "rack-1001"))
          .Members(
            { BuildValid(AcceleratorRangeBuilder()
                           .Worker(WorkerName(running.empty() ? "rack-1000-0"
                                                              : "rack-1001-0"))
                           .Count(4)) }));
      running.push_back(MakeRunning(job.Request(), place, kStart));
    }
    const WaitingJob large =
      MakeWaiting("one", "large", MakeShape(2, 4), kStart);
    const auto startsOf = [&](Milliseconds aRunTime) {
      const ScheduleDecision decision =
        Schedule(Load(teams, running),
                 { large,
                   MakeWaitingWithRunTime("one", aRunTime),
                   MakeWaitingWithRunTime("two", aRunTime) },
                 PlacementWeights(),
                 kStart);
      return decision.Starts().size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, startsOf(std::chrono::minutes(10)));
    // The rack that is reserved for the large gang takes no gang that would
    // still run when the large one can start.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, startsOf(std::chrono::hours(10)));
  }

  void LargeGangPreemptsSmallOnesOnceItsWaitExceedsLostWork()
  {
    const std::vector<Team> teams = { MakeTeam("one", 64, {}) };
    std::vector<RunningGang> running;
    for (const char* worker : { "rack-1000-0", "rack-1001-0" }) {
      const WaitingJob job =
        MakeWaiting("one", worker, MakeShape(1, 1), kStart);
      const GangPlacement place = BuildValid(
        GangPlacementBuilder()
          .Rack(RackName(std::string(worker).substr(0, 9)))
          .Members({ BuildValid(
            AcceleratorRangeBuilder().Worker(WorkerName(worker)).Count(1)) }));
      running.push_back(MakeRunning(job.Request(), place, kStart));
    }
    const WaitingJob large =
      MakeWaiting("one", "large", MakeShape(2, 4), kStart);
    const auto victims = [&](std::chrono::minutes aLater) {
      return Schedule(Load(teams, running),
                      { large },
                      PlacementWeights(),
                      kStart + aLater)
        .Preemptions()
        .size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, victims(std::chrono::minutes(0)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, victims(std::chrono::minutes(5)));
  }

  void JobThatCanNeverRunIsRefusedWithReason()
  {
    const DataCentre dataCentre = MakeDataCentre({ MakeTeam("one", 12, {}) });
    Reason reason;
    CPPUNIT_ASSERT(CanEverRun(dataCentre, MakeJob("one", 2, 4), reason));
    CPPUNIT_ASSERT(!CanEverRun(dataCentre, MakeJob("one", 3, 4), reason));
    CPPUNIT_ASSERT_EQUAL(
      std::string("3 members fit in no rack; the largest takes 2"),
      reason.Text());
    CPPUNIT_ASSERT(!CanEverRun(dataCentre, MakeJob("one", 1, 5), reason));
    CPPUNIT_ASSERT(!CanEverRun(dataCentre, MakeJob("one", 13, 1), reason));
    CPPUNIT_ASSERT_EQUAL(std::string("13 accelerators exceed the quota of 12"),
                         reason.Text());
    CPPUNIT_ASSERT(!CanEverRun(dataCentre, MakeJob("two", 1, 1), reason));
    CPPUNIT_ASSERT(reason.At() == Step::kAdmission);
  }

  void GuaranteesThatExceedTheRacksAreRefused()
  {
    const Shape threeAccelerators = MakeShape(1, 3);
    Reason reason;
    CPPUNIT_ASSERT(GuaranteesFit(
      MakeDataCentre({ MakeTeam("one", 12, { { threeAccelerators, 4 } }) }),
      reason));
    // 16 accelerators are enough for five gangs of three, but each worker has
    // four and takes only one range of three.
    CPPUNIT_ASSERT(!GuaranteesFit(
      MakeDataCentre({ MakeTeam("one", 12, { { threeAccelerators, 3 } }),
                       MakeTeam("two", 12, { { threeAccelerators, 2 } }) }),
      reason));
    CPPUNIT_ASSERT(reason.At() == Step::kSettings);
    CPPUNIT_ASSERT(!GuaranteesFit(
      MakeDataCentre({ MakeTeam("one", 11, { { threeAccelerators, 4 } }) }),
      reason));
  }

private:
  static WaitingJob MakeWaitingWithRunTime(const std::string& aKey,
                                           Milliseconds aRunTime)
  {
    const WaitingJob job = MakeWaiting("one", aKey, MakeShape(1, 4), kStart);
    return BuildValid(WaitingJobBuilder()
                        .Request(job.Request())
                        .Submitted(kStart)
                        .ExpectedRunTime(aRunTime));
  }

  static constexpr Instant kStart{ std::chrono::hours(1) };

  static Job MakeJob(const std::string& aTeam,
                     std::int32_t aMembers,
                     std::int32_t aAccelerators)
  {
    return MakeWaiting(aTeam, "job", MakeShape(aMembers, aAccelerators), kStart)
      .Request();
  }

  static DataCentre MakeDataCentre(const std::vector<Team>& aTeams)
  {
    return BuildValid(DataCentreBuilder()
                        .Name(DataCentreName("one"))
                        .Workers(MakeWorkers(2, 2, 4))
                        .Teams(aTeams));
  }

  static DataCentreLoad Load(const std::vector<Team>& aTeams,
                             const std::vector<RunningGang>& aRunning)
  {
    return BuildValid(DataCentreLoadBuilder()
                        .DataCentre(DataCentreName("one"))
                        .Workers(MakeWorkers(2, 2, 4))
                        .Teams(aTeams)
                        .Running(aRunning));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScheduleTest);

}
