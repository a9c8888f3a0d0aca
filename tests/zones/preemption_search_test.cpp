#include "core/reason.h"
#include "machines/resources_builder.h"
#include "zones/candidate_worker_builder.h"
#include "zones/freed_capacity.h"
#include "zones/place_search.h"
#include "zones/placement_request_builder.h"
#include "zones/preemptible_run.h"
#include "zones/preemption_search.h"
#include "zones/worker_preemption_search.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <set>

namespace sardinecourse {

namespace {

constexpr std::int64_t kCoreMilli = 1000;
constexpr std::int64_t kGb = 1024;

/** Resources of aAccelerators accelerators, with one core and 1 GB of memory
 * for each. */
Resources
MakeResources(std::int64_t aAccelerators)
{
  Reason reason;
  return ResourcesBuilder()
    .MilliCores(aAccelerators * kCoreMilli)
    .MemoryMb(aAccelerators * kGb)
    .Accelerators(aAccelerators)
    .Build(reason)
    .value();
}

CandidateWorker
MakeWorker(int aNumber, std::int64_t aFree, std::int64_t aTotal)
{
  Reason reason;
  return CandidateWorkerBuilder()
    .Name(WorkerName("w" + std::to_string(aNumber)))
    .Rack(RackName("r" + std::to_string(aNumber / 2)))
    .Free(MakeResources(aFree))
    .Total(MakeResources(aTotal))
    .MaxTasks(100)
    .Build(reason)
    .value();
}

PlacementRequest
MakeRequest(std::int64_t aAccelerators,
            std::int32_t aCount,
            bool aRequiresOneRack)
{
  Reason reason;
  return PlacementRequestBuilder()
    .Need(MakeResources(aAccelerators))
    .Count(aCount)
    .RequiresOneRack(aRequiresOneRack)
    .Build(reason)
    .value();
}

PreemptibleRun
MakeRun(double aLostWork,
        const std::vector<int>& aWorkers,
        std::int64_t aAccelerators)
{
  PreemptibleRun run;
  run.lostWork = aLostWork;
  for (const int worker : aWorkers) {
    run.resources.emplace_back(WorkerName("w" + std::to_string(worker)),
                               MakeResources(aAccelerators));
  }
  return run;
}

bool
FitsWithout(const std::vector<CandidateWorker>& aWorkers,
            const std::vector<PreemptibleRun>& aRuns,
            const std::vector<std::size_t>& aChosen,
            const PlacementRequest& aRequest)
{
  return FindPlaces(WithoutRuns(aWorkers, aRuns, aChosen), aRequest)
    .has_value();
}

/** A fleet of workers with eight accelerators each, filled by runs on one or
 * two workers. */
struct FullFleet
{
  std::vector<CandidateWorker> workers;
  std::vector<PreemptibleRun> runs;
};

FullFleet
DrawFleet()
{
  constexpr std::int64_t kTotal = 8;
  const int count = *rc::gen::inRange(2, 9);
  std::vector<std::int64_t> free(static_cast<std::size_t>(count), kTotal);
  FullFleet fleet;
  const int runs = *rc::gen::inRange(0, 20);
  for (int number = 0; number < runs; ++number) {
    const int first = *rc::gen::inRange(0, count);
    const int second = *rc::gen::inRange(0, count);
    const std::int64_t accelerators =
      *rc::gen::element<std::int64_t>(1, 2, 4, 8);
    const bool isGang = first != second && *rc::gen::arbitrary<bool>();
    const std::vector<int> places =
      isGang ? std::vector<int>{ first, second } : std::vector<int>{ first };
    const bool fits =
      std::all_of(places.begin(), places.end(), [&](int aPlace) {
        return free[static_cast<std::size_t>(aPlace)] >= accelerators;
      });
    if (!fits) {
      continue;
    }
    for (const int place : places) {
      free[static_cast<std::size_t>(place)] -= accelerators;
    }
    const double lostWork = *rc::gen::inRange(1, 1000);
    fleet.runs.push_back(MakeRun(lostWork, places, accelerators));
  }
  for (int number = 0; number < count; ++number) {
    fleet.workers.push_back(
      MakeWorker(number, free[static_cast<std::size_t>(number)], kTotal));
  }
  return fleet;
}

}

/** The choice of the runs to preempt for an urgent unit. */
class PreemptionSearchTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PreemptionSearchTest);
  CPPUNIT_TEST(PreemptsAllRunsOfOneWorkerRatherThanCheapRunsOfMany);
  CPPUNIT_TEST(PreemptedGangOnTwoWorkersCountsOnce);
  CPPUNIT_TEST(ChosenPreemptionsMakeUnitFit);
  CPPUNIT_TEST(FreedCapacityAgreesWithPlacement);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Batch work of different ages fills every worker, and an urgent gang needs
   * whole workers. Stopping the cheapest runs of the whole fleet first loses
   * more work here than stopping all runs of one worker. */
  void PreemptsAllRunsOfOneWorkerRatherThanCheapRunsOfMany()
  {
    const std::vector<CandidateWorker> workers{ MakeWorker(0, 0, 8),
                                                MakeWorker(1, 0, 8),
                                                MakeWorker(2, 0, 8) };
    std::vector<PreemptibleRun> runs;
    for (const int worker : { 0, 1 }) {
      // A cheap run beside one that has run for long.
      runs.push_back(MakeRun(1, { worker }, 4));
      runs.push_back(MakeRun(300, { worker }, 4));
    }
    runs.push_back(MakeRun(160, { 2 }, 4));
    runs.push_back(MakeRun(170, { 2 }, 4));
    const auto chosen =
      ChoosePreempted(workers, runs, MakeRequest(8, 1, false));
    CPPUNIT_ASSERT(chosen.has_value());
    CPPUNIT_ASSERT_EQUAL(301.0, LostWorkOf(runs, *chosen));
  }

  void PreemptedGangOnTwoWorkersCountsOnce()
  {
    const std::vector<CandidateWorker> workers{ MakeWorker(0, 0, 8),
                                                MakeWorker(1, 0, 8),
                                                MakeWorker(2, 0, 8) };
    const std::vector<PreemptibleRun> runs{ MakeRun(100, { 0, 1 }, 8),
                                            MakeRun(90, { 2 }, 8) };
    const auto chosen =
      ChoosePreempted(workers, runs, MakeRequest(8, 2, false));
    CPPUNIT_ASSERT(chosen.has_value());
    CPPUNIT_ASSERT(LostWorkOf(runs, *chosen) <= 190.0);
  }

  void ChosenPreemptionsMakeUnitFit()
  {
    const bool holds = rc::check([] {
      const FullFleet fleet = DrawFleet();
      const PlacementRequest request =
        MakeRequest(*rc::gen::element<std::int64_t>(1, 2, 4, 8),
                    *rc::gen::inRange(1, 4),
                    *rc::gen::arbitrary<bool>());
      std::vector<std::size_t> all;
      for (std::size_t run = 0; run < fleet.runs.size(); ++run) {
        all.push_back(run);
      }
      const auto chosen = ChoosePreempted(fleet.workers, fleet.runs, request);
      const bool couldFit =
        FitsWithout(fleet.workers, fleet.runs, all, request);
      RC_ASSERT(chosen.has_value() == couldFit);
      if (!chosen) {
        return;
      }
      RC_ASSERT(FitsWithout(fleet.workers, fleet.runs, *chosen, request));
      const auto byWorker =
        ChoosePreemptedByWorker(fleet.workers, fleet.runs, request);
      RC_ASSERT(byWorker.has_value());
      RC_ASSERT(LostWorkOf(fleet.runs, *chosen) <=
                LostWorkOf(fleet.runs, *byWorker));
    });
    CPPUNIT_ASSERT(holds);
  }

  /** The count that replaces a search for places for each set of runs must
   * agree with that search, after runs are stopped and restored. */
  void FreedCapacityAgreesWithPlacement()
  {
    const bool holds = rc::check([] {
      const FullFleet fleet = DrawFleet();
      const PlacementRequest request =
        MakeRequest(*rc::gen::element<std::int64_t>(1, 2, 4, 8),
                    *rc::gen::inRange(1, 6),
                    *rc::gen::arbitrary<bool>());
      FreedCapacity capacity(fleet.workers, fleet.runs, request);
      std::set<std::size_t> stopped;
      const int steps = *rc::gen::inRange(0, 30);
      for (int step = 0; step < steps && !fleet.runs.empty(); ++step) {
        const auto run = static_cast<std::size_t>(
          *rc::gen::inRange(0, static_cast<int>(fleet.runs.size())));
        if (stopped.insert(run).second) {
          capacity.Stop(run);
        } else {
          capacity.Restore(run);
          stopped.erase(run);
        }
        const std::vector<std::size_t> chosen(stopped.begin(), stopped.end());
        RC_ASSERT(capacity.Fits() ==
                  FitsWithout(fleet.workers, fleet.runs, chosen, request));
      }
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PreemptionSearchTest);

}
