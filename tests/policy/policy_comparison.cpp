#include "contracts/placement_weights_builder.h"
#include "tests/policy/baseline_policy.h"
#include "tests/policy/policy_run.h"
#include "zones/guarantee_packing.h"
#include "zones/schedule.h"

#include <cstdio>
#include <cstdlib>
#include <functional>
#include <future>
#include <string>

namespace sardinecourse {

namespace {

class SchedulePolicy
{
public:
  SchedulePolicy(std::int32_t aCompletion, std::int32_t aFragmentation)
    : weights(BuildValid(PlacementWeightsBuilder()
                           .Completion(aCompletion)
                           .Fragmentation(aFragmentation)))
  {
  }

  ScheduleDecision Decide(const DataCentreLoad& aLoad,
                          const std::vector<WaitingJob>& aWaiting,
                          Instant aNow) const
  {
    return Schedule(aLoad, aWaiting, this->weights, aNow);
  }

private:
  PlacementWeights weights;
};

/** Four teams, of which two have large guarantees. */
std::vector<Team>
FourTeams(std::int32_t aLargestGang, std::int32_t aQuota)
{
  return { MakeTeam("a", aQuota, { { MakeShape(aLargestGang * 2 / 3, 8), 1 } }),
           MakeTeam("b", aQuota, { { MakeShape(aLargestGang / 2, 8), 1 } }),
           MakeTeam("c", aQuota, { { MakeShape(1, 4), 1 } }),
           MakeTeam("d", aQuota, { { MakeShape(1, 2), 1 } }) };
}

/** 91 teams, of which every 16th has a guarantee of whole workers and every
 * other 8th one of half a worker. */
std::vector<Team>
ManyTeams()
{
  std::vector<Team> teams;
  for (int team = 0; team < 91; ++team) {
    std::vector<std::pair<Shape, std::int32_t>> guarantees;
    if (team % 16 == 0) {
      guarantees.emplace_back(MakeShape(5, 8), 1);
    } else if (team % 8 == 0) {
      guarantees.emplace_back(MakeShape(1, 4), 1);
    }
    teams.push_back(MakeTeam("team-" + std::to_string(team), 120, guarantees));
  }
  return teams;
}

void
Print(const Scenario& aScenario,
      const char* aPolicy,
      const std::vector<RunFigures>& aRuns)
{
  const auto printSpread =
    [&aRuns](const char* aName,
             const std::function<double(const RunFigures&)>& aFigure) {
      std::vector<double> values;
      values.reserve(aRuns.size());
      for (const RunFigures& run : aRuns) {
        values.push_back(aFigure(run));
      }
      std::ranges::sort(values);
      std::printf(" %s=%.3g(%.3g-%.3g)",
                  aName,
                  values[values.size() / 2],
                  values.front(),
                  values.back());
    };
  const auto percentile = [](std::vector<double> RunFigures::*aValues,
                             int aPercent) {
    return [=](const RunFigures& aRun) {
      return Percentile(aRun.*aValues, aPercent);
    };
  };
  std::printf("%s %s", aScenario.name.c_str(), aPolicy);
  for (const int percent : { 50, 95, 99 }) {
    printSpread(("large_p" + std::to_string(percent) + "_min").c_str(),
                percentile(&RunFigures::largeMinutes, percent));
    printSpread(("small_p" + std::to_string(percent) + "_min").c_str(),
                percentile(&RunFigures::smallMinutes, percent));
  }
  printSpread("large_wait_p50_min",
              percentile(&RunFigures::largeWaitMinutes, 50));
  printSpread("large_wait_p95_min",
              percentile(&RunFigures::largeWaitMinutes, 95));
  printSpread("large_run_p95_min",
              percentile(&RunFigures::largeRunMinutes, 95));
  for (const auto& [members, minutes] : aRuns.front().largeMinutesByMembers) {
    printSpread(("members_" + std::to_string(members) + "_p95_min").c_str(),
                [key = members](const RunFigures& aRun) {
                  const auto found = aRun.largeMinutesByMembers.find(key);
                  return found == aRun.largeMinutesByMembers.end()
                           ? 0
                           : Percentile(found->second, 95);
                });
  }
  printSpread("fragmentation", &RunFigures::Fragmentation);
  printSpread("unusable_accelerator_h", [](const RunFigures& aRun) {
    return aRun.unusableAcceleratorHours;
  });
  printSpread("urgent_start_p99_s",
              percentile(&RunFigures::urgentStartSeconds, 99));
  printSpread("reclaim_p99_s", percentile(&RunFigures::reclaimSeconds, 99));
  printSpread("lost_accelerator_h",
              [](const RunFigures& aRun) { return aRun.lostAcceleratorHours; });
  printSpread("preempted",
              [](const RunFigures& aRun) { return aRun.preempted; });
  printSpread("refused", [](const RunFigures& aRun) { return aRun.refused; });
  printSpread("failed_starts",
              [](const RunFigures& aRun) { return aRun.failedStarts; });
  printSpread("jobs", [](const RunFigures& aRun) {
    return static_cast<double>(aRun.largeMinutes.size() +
                               aRun.smallMinutes.size());
  });
  std::printf("\n");
}

template<PlacementPolicy Policy>
void
Compare(const Scenario& aScenario,
        const char* aName,
        const Policy& aPolicy,
        unsigned aSeeds)
{
  const char* nameFilter = std::getenv("POLICY_COMPARISON_ONLY");
  if (nameFilter != nullptr &&
      std::string(aName).find(nameFilter) == std::string::npos) {
    return;
  }
  std::vector<std::future<RunFigures>> pending;
  for (unsigned seed = 1; seed <= aSeeds; ++seed) {
    pending.push_back(std::async(std::launch::async, [&, seed] {
      const std::vector<Arrival> arrivals =
        ArrivalStream(aScenario, seed).Draw();
      return PolicyRun<Policy>(aScenario, arrivals, aPolicy).Run();
    }));
  }
  std::vector<RunFigures> runs;
  runs.reserve(pending.size());
  for (std::future<RunFigures>& run : pending) {
    runs.push_back(run.get());
  }
  Print(aScenario, aName, runs);
}

void
CompareAll(const Scenario& aScenario, unsigned aSeeds)
{
  using FirstFitFifo =
    BaselinePolicy<FitRule::kFirst, QueueRule::kWaitForFirst>;
  using FirstFit = BaselinePolicy<FitRule::kFirst, QueueRule::kSkip>;
  using BestFit = BaselinePolicy<FitRule::kBest, QueueRule::kSkip>;
  using RandomFit = BaselinePolicy<FitRule::kRandom, QueueRule::kSkip>;
  Compare(aScenario, "first_fit_fifo", FirstFitFifo(), aSeeds);
  Compare(aScenario, "first_fit_skip", FirstFit(), aSeeds);
  Compare(aScenario, "best_fit_skip", BestFit(), aSeeds);
  Compare(aScenario, "random_skip", RandomFit(), aSeeds);
  Compare(aScenario, "schedule_balanced", SchedulePolicy(50, 50), aSeeds);
  Compare(aScenario, "schedule_completion", SchedulePolicy(100, 0), aSeeds);
  Compare(aScenario, "schedule_fragmentation", SchedulePolicy(0, 100), aSeeds);
}

}

}

/** Usage: policy_comparison [SEEDS [LOAD]]. Runs every scenario with seeds 1 to
 * SEEDS at LOAD times the capacity. POLICY_COMPARISON_ONLY selects the policies
 * whose names contain its value. */
int
main(int aCount, char** aArguments)
{
  using namespace sardinecourse;
  const unsigned seeds =
    aCount > 1 ? static_cast<unsigned>(std::atoi(aArguments[1])) : 5;
  const double load = aCount > 2 ? std::atof(aArguments[2]) : 0.85;
  std::printf("seeds=1..%u offered_load=%.2f; median(least-most) over seeds\n",
              seeds,
              load);
  CompareAll({ "cascadia", 2, 6, 6, FourTeams(6, 96), load }, seeds);
  CompareAll({ "inkora", 2, 8, 8, FourTeams(8, 128), load }, seeds);
  CompareAll({ "two_year", 5, 10, 10, ManyTeams(), load }, seeds);
  return 0;
}
