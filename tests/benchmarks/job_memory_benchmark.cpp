#include "codecs/admitted_job_json.h"
#include "core/reason.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/domain_pass.h"
#include "zones/domain_state.h"
#include "zones/preemption_reservations.h"

#include <benchmark/benchmark.h>
#include <malloc.h>
#include <memory>
#include <string>
#include <vector>

namespace sardinecourse {

namespace {

constexpr std::int32_t kUnits = 15'000;
constexpr Instant kNow{ std::chrono::hours(100) };
constexpr WallTime kWallNow{ std::chrono::hours(500'000) };

/** Shapes of jobs that a domain holds for long. */
enum Shape : std::int64_t
{
  kSmall,
  kTimedNotDue,
  kTimedOverdue,
  kWide,
  kLongPayload
};

JobPlanBuilder
PlanOf(std::int64_t aShape)
{
  JobPlanBuilder plan;
  plan.Steps({ Valid(QuarterStep(aShape == kWide ? kUnits : 1)) });
  if (aShape == kTimedNotDue || aShape == kTimedOverdue) {
    plan.Occurrences(kUnits)
      .IsTimed(true)
      .FirstDue(aShape == kTimedOverdue ? WallTime()
                                        : kWallNow + std::chrono::hours(1))
      .Interval(std::chrono::minutes(1));
  }
  if (aShape == kLongPayload) {
    plan.Payload(std::string(40'000, 'p'));
  }
  return plan;
}

std::vector<std::string>
StoredJobs(std::int64_t aShape, std::int64_t aJobs)
{
  const JobPlan plan = Valid(PlanOf(aShape));
  std::vector<std::string> rows;
  for (std::int64_t job = 0; job < aJobs; ++job) {
    rows.push_back(EncodeAdmittedJob(
      Valid(AdmittedJobBuilder()
              .Key(JobKey("0000000000" + std::to_string(100'000 + job)))
              .Queue(QueueName("queue"))
              .Service(ServiceName("fretdesk"))
              .MaxAttempts(3)
              .Plan(plan))));
  }
  return rows;
}

std::unique_ptr<DomainState>
Load(const std::vector<std::string>& aRows)
{
  auto domain = std::make_unique<DomainState>(DomainTiming(), kNow, kNow);
  domain->ListWorker(MakeListing("w0", "r0"), kNow);
  Reason reason;
  for (const std::string& row : aRows) {
    domain->AddJob(
      DecodeAdmittedJob(row, reason).value(), std::nullopt, 1, kNow);
  }
  return domain;
}

std::size_t
AllocatedBytes()
{
  return mallinfo2().uordblks + mallinfo2().hblkhd;
}

/** Loads stored jobs as a takeover does; counts the bytes that a job takes. */
void
LoadJobs(benchmark::State& aState)
{
  const auto rows = StoredJobs(aState.range(0), aState.range(1));
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const std::size_t before = AllocatedBytes();
    const auto domain = Load(rows);
    bytes = AllocatedBytes() - before;
  }
  aState.counters["bytes_a_job"] =
    static_cast<double>(bytes) / static_cast<double>(aState.range(1));
}

/** A scheduling pass in which nothing can be placed; counts the bytes that a
 * job takes after it. */
void
PassOverJobs(benchmark::State& aState)
{
  const auto rows = StoredJobs(aState.range(0), aState.range(1));
  const std::size_t before = AllocatedBytes();
  const auto domain = Load(rows);
  PreemptionReservations reservations;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      DomainPass(*domain, reservations, kNow, kWallNow).Run());
  }
  aState.counters["bytes_a_job"] =
    static_cast<double>(AllocatedBytes() - before) /
    static_cast<double>(aState.range(1));
}

constexpr std::int64_t kJobs = 100;

void
Shapes(benchmark::internal::Benchmark* aBenchmark)
{
  aBenchmark->ArgNames({ "shape", "jobs" });
  for (const Shape shape :
       { kSmall, kTimedNotDue, kTimedOverdue, kWide, kLongPayload }) {
    aBenchmark->Args({ shape, kJobs });
  }
}

BENCHMARK(LoadJobs)->Apply(Shapes)->Unit(benchmark::kMillisecond);
BENCHMARK(PassOverJobs)->Apply(Shapes)->Unit(benchmark::kMillisecond);

}

}

BENCHMARK_MAIN();
