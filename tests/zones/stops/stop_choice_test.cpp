#include "core/reason.h"
#include "machines/resources_builder.h"
#include "zones/candidate_worker_builder.h"
#include "zones/placement_request_builder.h"
#include "zones/preemptible_run.h"
#include "zones/stops/stop_choice.h"
#include "zones/stops/stop_limits.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace {

constexpr std::int64_t kAccelerators = 8;
constexpr StopLimits kLimits{ 100.0, Milliseconds(500) };

Resources
WholeWorker()
{
  Reason reason;
  return ResourcesBuilder().Accelerators(kAccelerators).Build(reason).value();
}

std::vector<CandidateWorker>
FullWorkers(int aCount)
{
  std::vector<CandidateWorker> workers;
  for (int worker = 0; worker < aCount; ++worker) {
    Reason reason;
    workers.push_back(CandidateWorkerBuilder()
                        .Name(WorkerName("w" + std::to_string(worker)))
                        .Rack(RackName("r0"))
                        .Total(WholeWorker())
                        .MaxTasks(kAccelerators)
                        .Build(reason)
                        .value());
  }
  return workers;
}

PreemptibleRun
MakeRun(double aLostWork,
        const std::vector<std::string>& aWorkers,
        Milliseconds aTimeLeft = Milliseconds::max())
{
  PreemptibleRun run;
  run.lostWork = aLostWork;
  run.timeLeft = aTimeLeft;
  for (const std::string& worker : aWorkers) {
    run.resources.emplace_back(WorkerName(worker), WholeWorker());
  }
  return run;
}

PlacementRequest
MakeRequest(std::int32_t aCount)
{
  Reason reason;
  return PlacementRequestBuilder()
    .Need(WholeWorker())
    .Count(aCount)
    .Build(reason)
    .value();
}

}

/** How room is made for an urgent unit in a full fleet. */
class StopChoiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopChoiceTest);
  CPPUNIT_TEST(RunThatEndsInTimeIsAwaited);
  CPPUNIT_TEST(GangBesideRunThatEndsInTimeHasOnlyTheRestStopped);
  CPPUNIT_TEST(UrgentRunIsAwaitedButNotStopped);
  CPPUNIT_TEST(GangCountsWhole);
  CPPUNIT_TEST(CostlyRunIsNotStopped);
  CPPUNIT_TEST_SUITE_END();

public:
  void RunThatEndsInTimeIsAwaited()
  {
    const auto choice = ChooseStops(
      FullWorkers(2),
      { MakeRun(1.0, { "w0" }), MakeRun(9.0, { "w1" }, Milliseconds(400)) },
      MakeRequest(1),
      kLimits);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(choice->stopped.empty());
    CPPUNIT_ASSERT(Milliseconds(400) == choice->wait);
    CPPUNIT_ASSERT(std::vector{ WorkerName("w1") } == choice->places);
  }

  void GangBesideRunThatEndsInTimeHasOnlyTheRestStopped()
  {
    const auto choice =
      ChooseStops(FullWorkers(3),
                  { MakeRun(5.0, { "w0" }),
                    MakeRun(9.0, { "w1" }, Milliseconds(100)),
                    MakeRun(2.0, { "w2" }, Milliseconds(600)) },
                  MakeRequest(2),
                  kLimits);
    CPPUNIT_ASSERT(choice.has_value());
    CPPUNIT_ASSERT(std::vector<std::size_t>{ 2 } == choice->stopped);
    CPPUNIT_ASSERT_EQUAL(2.0, choice->lostWork);
  }

  void UrgentRunIsAwaitedButNotStopped()
  {
    std::vector<PreemptibleRun> runs{ MakeRun(
      1.0, { "w0" }, Milliseconds(800)) };
    runs.front().isStoppable = false;
    CPPUNIT_ASSERT(!ChooseStops(FullWorkers(1), runs, MakeRequest(1), kLimits));
    runs.front().timeLeft = Milliseconds(300);
    CPPUNIT_ASSERT(ChooseStops(FullWorkers(1), runs, MakeRequest(1), kLimits));
  }

  // A gang that loses one member loses all; one with room for two tasks costs
  // less than two single runs.
  void GangCountsWhole()
  {
    const std::vector<PreemptibleRun> runs{ MakeRun(30.0, { "w0", "w1" }),
                                            MakeRun(20.0, { "w2" }),
                                            MakeRun(20.0, { "w3" }) };
    const auto one = ChooseStops(FullWorkers(4), runs, MakeRequest(1), kLimits);
    CPPUNIT_ASSERT(one.has_value());
    CPPUNIT_ASSERT_EQUAL(20.0, one->lostWork);
    const auto two = ChooseStops(FullWorkers(4), runs, MakeRequest(2), kLimits);
    CPPUNIT_ASSERT(two.has_value());
    CPPUNIT_ASSERT_EQUAL(30.0, two->lostWork);
  }

  void CostlyRunIsNotStopped()
  {
    CPPUNIT_ASSERT(!ChooseStops(
      FullWorkers(1), { MakeRun(101.0, { "w0" }) }, MakeRequest(1), kLimits));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopChoiceTest);

}
