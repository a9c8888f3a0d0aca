#include "core/reason.h"
#include "machines/resources_builder.h"
#include "zones/candidate_worker_builder.h"
#include "zones/pace/measured_run.h"
#include "zones/pace/worker_paces.h"
#include "zones/place_search.h"
#include "zones/placement_request_builder.h"
#include "zones/worker_outlook_builder.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <chrono>
#include <malloc.h>
#include <random>
#include <string>
#include <vector>

namespace sardinecourse {

namespace {

// Fleet size expected in two years: 970 workers, 15,000 tasks.
constexpr std::int32_t kWorkersPerRack = 8;
constexpr std::int32_t kTasksPerWorker = 15;
constexpr double kPaces[] = { 0.6, 1.0, 1.6 };
constexpr double kSizeMs = 5000.0;
constexpr Milliseconds kReportInterval{ 700 };
constexpr unsigned kSeed = 20261207;
const ServiceName kService("service");

template<typename Builder>
auto
Valid(const Builder& aBuilder)
{
  Reason reason;
  return aBuilder.Build(reason).value();
}

WorkerName
NameOf(std::int32_t aWorker)
{
  return WorkerName("worker-" + std::to_string(10'000 + aWorker));
}

/** Times each iteration separately, because the mean hides tail latency;
 * aPrepare runs before each and is not timed. */
template<typename Call, typename Prepare>
void
Measure(benchmark::State& aState, const Call& aCall, const Prepare& aPrepare)
{
  std::vector<double> times;
  for (auto _ : aState) {
    aPrepare();
    const auto start = std::chrono::steady_clock::now();
    aCall();
    const std::chrono::duration<double, std::micro> time =
      std::chrono::steady_clock::now() - start;
    times.push_back(time.count());
    aState.SetIterationTime(time.count() / 1e6);
  }
  std::ranges::sort(times);
  aState.counters["p50_us"] = times[times.size() / 2];
  aState.counters["p99_us"] = times[times.size() * 99 / 100];
}

/** One report of every worker, each of which lists all of its tasks. */
class Reports
{
public:
  explicit Reports(std::int32_t aWorkers)
  {
    for (std::int32_t worker = 0; worker < aWorkers; ++worker) {
      this->names.push_back(NameOf(worker));
    }
  }

  void Apply(WorkerPaces& aPaces)
  {
    this->now += kReportInterval;
    for (std::size_t worker = 0; worker < this->names.size(); ++worker) {
      const double pace = kPaces[worker % std::size(kPaces)];
      for (std::uint64_t task = 0; task < kTasksPerWorker; ++task) {
        const auto ms =
          static_cast<double>(this->now.time_since_epoch() / Milliseconds(1)) +
          static_cast<double>(task) * 300.0;
        const double done = ms * pace / kSizeMs;
        const auto round = static_cast<std::uint64_t>(done);
        const MeasuredRun run{ (worker * kTasksPerWorker + task) * 1000 + round,
                               (task + round) % 400,
                               kSizeMs };
        aPaces.NoteProgress(kService,
                            this->names[worker],
                            run,
                            static_cast<std::int32_t>(
                              100.0 * (done - static_cast<double>(round))),
                            static_cast<std::int64_t>(ms),
                            this->now);
      }
    }
  }

  Instant Now() const { return this->now; }

private:
  std::vector<WorkerName> names;
  Instant now{ Milliseconds(1'000'000) };
};

/** The reports of all workers, which arrive spread over kReportInterval. */
void
NoteReports(benchmark::State& aState)
{
  Reports reports(static_cast<std::int32_t>(aState.range(0)));
  WorkerPaces paces;
  Measure(
    aState, [&] { reports.Apply(paces); }, [] {});
}

void
FitAll(benchmark::State& aState)
{
  const auto workers = static_cast<std::int32_t>(aState.range(0));
  Reports reports(workers);
  const std::size_t before = mallinfo2().uordblks;
  WorkerPaces paces;
  constexpr int kWarmUp = 40;
  for (int report = 0; report < kWarmUp; ++report) {
    reports.Apply(paces);
    paces.Fit(reports.Now());
  }
  const std::size_t after = mallinfo2().uordblks;
  Measure(
    aState, [&] { paces.Fit(reports.Now()); }, [&] { reports.Apply(paces); });
  aState.counters["state_bytes"] = static_cast<double>(after - before);
}

/** Places a gang that prefers one rack; the search fails in that of its
 * preferred pace when the gang is wide. */
void
PlaceGang(benchmark::State& aState)
{
  std::minstd_rand random(kSeed);
  std::vector<CandidateWorker> workers;
  for (std::int32_t worker = 0; worker < aState.range(0); ++worker) {
    const std::int64_t free = random() % 9;
    const auto resources = [](std::int64_t aAccelerators) {
      return Valid(ResourcesBuilder()
                     .MilliCores(16'000 * aAccelerators)
                     .MemoryMb(32'768 * aAccelerators)
                     .Accelerators(aAccelerators));
    };
    workers.push_back(Valid(
      CandidateWorkerBuilder()
        .Name(NameOf(worker))
        .Rack(RackName("rack-" + std::to_string(worker / kWorkersPerRack)))
        .Free(resources(free))
        .Total(resources(8))
        .MaxTasks(100)
        .Outlook(Valid(
          WorkerOutlookBuilder().Pace(kPaces[random() % std::size(kPaces)])))));
  }
  int call = 0;
  Measure(
    aState,
    [&] {
      const std::int32_t count = 1 + ++call % 64;
      const PlacementRequest request = Valid(
        PlacementRequestBuilder()
          .Need(Valid(
            ResourcesBuilder().MilliCores(15'000).MemoryMb(30'000).Accelerators(
              1 + call % 4)))
          .Count(count)
          .RequiresOneRack(call % 2 == 0)
          .Pace(call % 3 == 0 ? PacePreference::kSlow : PacePreference::kFast));
      benchmark::DoNotOptimize(FindPlaces(workers, request));
    },
    [] {});
}

void
ApplySizes(benchmark::internal::Benchmark* aBenchmark)
{
  for (const int workers : { 50, 350, 970 }) {
    aBenchmark->Arg(workers);
  }
  aBenchmark->UseManualTime()->Unit(benchmark::kMicrosecond);
}

BENCHMARK(NoteReports)->Apply(ApplySizes);
BENCHMARK(FitAll)->Apply(ApplySizes);
BENCHMARK(PlaceGang)->Apply(ApplySizes);

}

}

BENCHMARK_MAIN();
