#include "tests/zones/sample_values.h"
#include "zones/data_centre_builder.h"
#include "zones/gang_placement_builder.h"
#include "zones/guarantee_packing.h"
#include "zones/schedule.h"

#include "machines/accelerator_range_builder.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <cmath>
#include <malloc.h>
#include <random>
#include <string>
#include <vector>

namespace sardinecourse {

namespace {

// Fleet size expected in two years: 970 workers, 2,100 accelerators, 15,000
// tasks, 91 teams.
constexpr std::int32_t kWorkersPerRack = 10;
constexpr std::int32_t kAcceleratorsPerWorker = 8;
constexpr double kAcceleratedRackShare = 0.27;
constexpr double kTasksPerWorker = 15'000.0 / 970;
constexpr std::int32_t kTeams = 91;
constexpr std::int32_t kQuota = 400;
constexpr double kGuaranteedShare = 0.6;
constexpr unsigned kSeed = 20261204;
constexpr Instant kNow{ std::chrono::hours(100) };

/** Random load of a data centre, reproducible by kSeed. */
class SampleLoad
{
public:
  SampleLoad(std::int32_t aWorkers, double aFilledShare)
    : random(kSeed)
  {
    const std::int32_t racks = std::max(1, aWorkers / kWorkersPerRack);
    this->acceleratedRacks = std::max(
      1, static_cast<std::int32_t>(std::lround(racks * kAcceleratedRackShare)));
    for (std::int32_t rack = 0; rack < racks; ++rack) {
      const std::int32_t accelerators =
        rack < this->acceleratedRacks ? kAcceleratorsPerWorker : 0;
      const std::vector<Worker> rackWorkers =
        MakeWorkers(rack + 1, kWorkersPerRack, accelerators);
      this->workers.insert(this->workers.end(),
                           rackWorkers.end() - kWorkersPerRack,
                           rackWorkers.end());
    }
    this->MakeTeams();
    this->FillAccelerators(aFilledShare);
    this->FillCores(static_cast<std::size_t>(aWorkers * kTasksPerWorker));
  }

  DataCentreLoad Load() const { return BuildValid(this->Builder()); }

  DataCentreLoadBuilder Builder() const
  {
    return DataCentreLoadBuilder()
      .DataCentre(DataCentreName("one"))
      .Workers(this->workers)
      .Teams(this->teams)
      .Running(this->running);
  }

  const std::vector<RunningGang>& Running() const { return this->running; }
  std::int32_t Accelerators() const
  {
    return this->acceleratedRacks * kWorkersPerRack * kAcceleratorsPerWorker;
  }

private:
  /** Gives each team in turn a guarantee if it still fits into the guaranteed
   * share of the accelerators. */
  void MakeTeams()
  {
    const Shape shapes[] = {
      MakeShape(4, 8), MakeShape(1, 4), MakeShape(2, 8), MakeShape(1, 2)
    };
    std::int32_t unguaranteed =
      static_cast<std::int32_t>(this->Accelerators() * kGuaranteedShare);
    for (std::int32_t team = 0; team < kTeams; ++team) {
      const Shape shape = shapes[team % std::size(shapes)];
      const std::int32_t wanted =
        shape.Members() * shape.AcceleratorsPerMember();
      std::vector<std::pair<Shape, std::int32_t>> guarantees;
      if (wanted <= unguaranteed) {
        guarantees.emplace_back(shape, 1);
        unguaranteed -= wanted;
      }
      this->teams.push_back(
        MakeTeam("team-" + std::to_string(team), kQuota, guarantees));
    }
  }

  void FillAccelerators(double aFilledShare)
  {
    for (std::int32_t worker = 0;
         worker < this->acceleratedRacks * kWorkersPerRack;
         ++worker) {
      for (std::int32_t first = 0; first < kAcceleratorsPerWorker;) {
        const std::int32_t count = 1 << this->random() % 3;
        const std::int32_t fitting =
          std::min(count, kAcceleratorsPerWorker - first);
        if (static_cast<double>(this->random() % 1000) < aFilledShare * 1000) {
          this->AddRunning(worker, first, fitting);
        }
        first += fitting;
      }
    }
  }

  void FillCores(std::size_t aTasks)
  {
    while (this->running.size() < aTasks) {
      this->AddRunning(
        static_cast<std::int32_t>(this->random() % this->workers.size()), 0, 0);
    }
  }

  void AddRunning(std::int32_t aWorker,
                  std::int32_t aFirst,
                  std::int32_t aCount)
  {
    const Worker& worker = this->workers[aWorker];
    const AcceleratorRange range = BuildValid(AcceleratorRangeBuilder()
                                                .Worker(worker.Name())
                                                .First(aFirst)
                                                .Count(aCount));
    const GangPlacement placement =
      BuildValid(GangPlacementBuilder().Rack(worker.Rack()).Members({ range }));
    const std::string team = "team-" + std::to_string(this->random() % kTeams);
    const std::string key = "running-" + std::to_string(this->running.size());
    const Job job =
      MakeWaiting(team, key, MakeShape(1, aCount), kNow).Request();
    const std::chrono::minutes age(1 + this->random() % 300);
    this->running.push_back(MakeRunning(job, placement, kNow - age));
  }

  std::minstd_rand random;
  std::int32_t acceleratedRacks = 0;
  std::vector<Worker> workers;
  std::vector<Team> teams;
  std::vector<RunningGang> running;
};

/** Times each iteration separately, because the mean hides tail latency. */
template<typename Decide>
void
Measure(benchmark::State& aState,
        const SampleLoad& aSample,
        const Decide& aDecide)
{
  std::vector<double> times;
  std::size_t call = 0;
  for (auto _ : aState) {
    const auto start = std::chrono::steady_clock::now();
    benchmark::DoNotOptimize(aDecide(call++));
    const std::chrono::duration<double, std::micro> time =
      std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
    aState.SetIterationTime(time.count() / 1e6);
  }
  std::ranges::sort(times);
  aState.counters["p50_us"] = times[times.size() / 2];
  aState.counters["p99_us"] = times[times.size() * 99 / 100];
  aState.counters["tasks"] = static_cast<double>(aSample.Running().size());
  aState.counters["accelerators"] = aSample.Accelerators();
}

/** Schedules one small waiting job, whose size varies by call. */
void
StartSmall(benchmark::State& aState)
{
  const SampleLoad sample(static_cast<std::int32_t>(aState.range(0)), 0.8);
  const DataCentreLoad load = sample.Load();
  Measure(aState, sample, [&load](std::size_t aCall) {
    const WaitingJob job = MakeWaiting("team-" + std::to_string(aCall % kTeams),
                                       "job",
                                       MakeShape(1, 1 << aCall % 4),
                                       kNow);
    return Schedule(load, { job }, PlacementWeights(), kNow);
  });
}

/** Schedules one waiting job that claims a guarantee in a full data centre. */
void
ReclaimGuarantee(benchmark::State& aState)
{
  const SampleLoad sample(static_cast<std::int32_t>(aState.range(0)), 1.0);
  const DataCentreLoad load = sample.Load();
  Measure(aState, sample, [&load](std::size_t) {
    const WaitingJob job = MakeWaiting("team-0", "job", MakeShape(4, 8), kNow);
    return Schedule(load, { job }, PlacementWeights(), kNow);
  });
}

/** Schedules a burst of large and small waiting jobs, most of which have to
 * wait, in one call. The time is that of the call. */
void
DecideBurst(benchmark::State& aState)
{
  constexpr int kBurst = 200;
  const SampleLoad sample(static_cast<std::int32_t>(aState.range(0)), 0.8);
  const DataCentreLoad load = sample.Load();
  std::vector<WaitingJob> burst;
  burst.reserve(kBurst);
  for (int job = 0; job < kBurst; ++job) {
    burst.push_back(
      MakeWaiting("team-" + std::to_string(job % kTeams),
                  "job-" + std::to_string(job),
                  job % 5 == 0 ? MakeShape(8, 8) : MakeShape(1, 1 << job % 4),
                  kNow));
  }
  Measure(aState, sample, [&](std::size_t) {
    return Schedule(load, burst, PlacementWeights(), kNow);
  });
}

void
BuildLoad(benchmark::State& aState)
{
  const SampleLoad sample(static_cast<std::int32_t>(aState.range(0)), 0.8);
  const DataCentreLoadBuilder builder = sample.Builder();
  const std::size_t before = mallinfo2().uordblks;
  const DataCentreLoad kept = BuildValid(builder);
  const std::size_t after = mallinfo2().uordblks;
  Measure(
    aState, sample, [&builder](std::size_t) { return BuildValid(builder); });
  aState.counters["load_bytes"] = static_cast<double>(after - before);
}

void
CheckGuarantees(benchmark::State& aState)
{
  const SampleLoad sample(static_cast<std::int32_t>(aState.range(0)), 0.0);
  const DataCentreLoad load = sample.Load();
  const DataCentre dataCentre = BuildValid(DataCentreBuilder()
                                             .Name(DataCentreName("one"))
                                             .Workers(load.Workers())
                                             .Teams(load.Teams()));
  Measure(aState, sample, [&dataCentre](std::size_t) {
    Reason reason;
    return GuaranteesFit(dataCentre, reason);
  });
}

void
ApplySizes(benchmark::internal::Benchmark* aBenchmark)
{
  for (const int workers : { 50, 100, 190, 480, 970 }) {
    aBenchmark->Arg(workers);
  }
  aBenchmark->UseManualTime()->Unit(benchmark::kMicrosecond);
}

BENCHMARK(StartSmall)->Apply(ApplySizes);
BENCHMARK(ReclaimGuarantee)->Apply(ApplySizes);
BENCHMARK(DecideBurst)->Apply(ApplySizes);
BENCHMARK(BuildLoad)->Apply(ApplySizes);
BENCHMARK(CheckGuarantees)->Apply(ApplySizes);

}

}

BENCHMARK_MAIN();
