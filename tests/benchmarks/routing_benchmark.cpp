#include "core/rcu_thread.h"
#include "core/reason.h"
#include "core/snapshot.h"
#include "machines/minion_builder.h"
#include "machines/minion_state.h"
#include "zones/minion_table.h"
#include "zones/routed_minion.h"
#include "zones/routing.h"
#include "zones/routing_inputs.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <benchmark/benchmark.h>
#include <cstdlib>
#include <new>
#include <random>
#include <thread>

namespace {

thread_local std::uint64_t allocations = 0;

}

// Counts the allocations of the measuring thread. Not inlined, because the
// compiler would then report operator new and free() as mismatched.
[[gnu::noinline]] void*
operator new(std::size_t aSize)
{
  ++allocations;
  void* memory = std::malloc(aSize);
  if (memory == nullptr) {
    std::abort();
  }
  return memory;
}

[[gnu::noinline]] void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace sardinecourse {

namespace {

constexpr int kThreads = 8;
constexpr std::size_t kInFlightPerThread = 64;
constexpr std::size_t kBuckets = 100'000;
constexpr double kBucketNs = 10;
constexpr std::chrono::milliseconds kPublishInterval{ 50 };

const ServiceName kService("fretdesk");

MinionTable::MinionStates
MakeMinions(std::int64_t aCount)
{
  MinionTable::MinionStates minions;
  for (std::int64_t index = 0; index < aCount; ++index) {
    Reason reason;
    MinionBuilder builder;
    builder.Name(MinionName("m" + std::to_string(index))).Service(kService);
    minions.push_back(std::make_shared<MinionState>(*builder.Build(reason)));
    minions.back()->RecordAnswer(std::chrono::microseconds(1000 + index),
                                 Clock::now());
  }
  return minions;
}

/** A minion table that a background thread replaces every kPublishInterval. */
class ChangingTable
{
public:
  explicit ChangingTable(std::int64_t aMinions)
    : minions(MakeMinions(aMinions))
    , snapshot(std::make_unique<const MinionTable>(this->minions))
    , publisher([this] { this->Publish(); })
  {
  }
  ~ChangingTable()
  {
    this->isStopping = true;
    this->publisher.join();
  }
  ChangingTable(const ChangingTable&) = delete;
  ChangingTable& operator=(const ChangingTable&) = delete;

  const Snapshot<MinionTable>& Table() const { return this->snapshot; }

private:
  void Publish()
  {
    const RcuThread rcuThread;
    while (!this->isStopping) {
      this->snapshot.Publish(
        std::make_unique<const MinionTable>(this->minions));
      std::this_thread::sleep_for(kPublishInterval);
    }
  }

  MinionTable::MinionStates minions;
  Snapshot<MinionTable> snapshot;
  std::atomic<bool> isStopping = false;
  std::thread publisher;
};

/** Histogram of one thread's decision times. Add() does not allocate, so that
 * it does not disturb the measurement. */
class DecisionTimes
{
public:
  DecisionTimes()
    : counts(kBuckets, 0)
  {
  }
  void Add(double aNs)
  {
    const auto bucket = static_cast<std::size_t>(aNs / kBucketNs);
    ++this->counts[std::min(bucket, kBuckets - 1)];
    ++this->total;
  }
  double PercentileNs(double aShare) const
  {
    std::uint64_t counted = 0;
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
      counted += this->counts[bucket];
      if (static_cast<double>(counted) >= aShare * this->total) {
        return static_cast<double>(bucket + 1) * kBucketNs;
      }
    }
    return 0;
  }

private:
  std::vector<std::uint64_t> counts;
  double total = 0;
};

std::unique_ptr<ChangingTable> table;

void
SetUp(const benchmark::State& aState)
{
  table = std::make_unique<ChangingTable>(aState.range(0));
}

void
TearDown(const benchmark::State&)
{
  table.reset();
}

/** Makes one routing decision per iteration. Each thread keeps the latest
 * kInFlightPerThread requests in flight. */
void
RouteRequests(benchmark::State& aState)
{
  const RcuThread rcuThread;
  std::mt19937_64 random(static_cast<std::uint64_t>(aState.thread_index()));
  std::array<std::shared_ptr<MinionState>, kInFlightPerThread> inFlight;
  DecisionTimes times;
  Reason reason;
  std::size_t next = 0;
  std::uint64_t allocated = 0;
  for (auto iteration : aState) {
    const std::uint64_t before = allocations;
    const Instant start = Clock::now();
    const RoutingInputs inputs{ random(), start };
    std::optional<RoutedMinion> routed;
    {
      const auto snapshot = table->Table().Read();
      routed = Route(*snapshot, kService, inputs, reason);
    }
    const std::chrono::duration<double, std::nano> duration =
      Clock::now() - start;
    allocated += routed ? allocations - before : 0;
    times.Add(duration.count());
    std::shared_ptr<MinionState>& old = inFlight[next++ % kInFlightPerThread];
    if (old) {
      old->Release();
    }
    old = routed ? std::move(routed->minion) : nullptr;
  }
  for (const auto& minion : inFlight) {
    if (minion) {
      minion->Release();
    }
  }
  using benchmark::Counter;
  aState.counters["p50_ns"] =
    Counter(times.PercentileNs(0.5), Counter::kAvgThreads);
  aState.counters["p99_ns"] =
    Counter(times.PercentileNs(0.99), Counter::kAvgThreads);
  aState.counters["allocations"] = Counter(static_cast<double>(allocated));
}

BENCHMARK(RouteRequests)
  ->Setup(SetUp)
  ->Teardown(TearDown)
  ->Arg(64)
  ->Arg(125)
  ->Arg(250)
  ->Arg(500)
  ->Arg(1000)
  ->Arg(4000)
  ->Threads(kThreads)
  ->UseRealTime();

}

}

BENCHMARK_MAIN();
