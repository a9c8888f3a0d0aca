#pragma once

#include "machines/accelerator_range_builder.h"
#include "tests/policy/placement_policy.h"
#include "tests/zones/sample_values.h"
#include "zones/gang_placement_builder.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <optional>
#include <random>

namespace sardinecourse {

/** Whether later jobs may start when the first job of the queue does not fit.
 */
enum class QueueRule : std::uint8_t
{
  kWaitForFirst,
  kSkip
};

/** The order in which racks and workers are tried. */
enum class FitRule : std::uint8_t
{
  kFirst,
  kBest,
  kRandom
};

/** First come, first served with first, best or random fit; without reclaim or
 * reservations. */
template<FitRule kFit, QueueRule kQueue>
class BaselinePolicy
{
public:
  ScheduleDecision Decide(const DataCentreLoad& aLoad,
                          const std::vector<WaitingJob>& aWaiting,
                          Instant)
  {
    this->occupancy = aLoad.Occupancy();
    std::vector<std::int32_t> held;
    for (std::size_t team = 0; team < aLoad.Teams().size(); ++team) {
      held.push_back(aLoad.HeldAccelerators(static_cast<std::int32_t>(team)));
    }
    std::vector<GangStart> starts;
    for (const WaitingJob& waiting : aWaiting) {
      const Job& job = waiting.Request();
      const std::int32_t team = aLoad.FindTeam(job.Team()).value();
      const std::int32_t requested =
        job.GangShape().Members() * job.GangShape().AcceleratorsPerMember();
      std::optional<GangPlacement> placement;
      if (held[team] + requested <= aLoad.Teams()[team].Quota()) {
        placement = this->Place(aLoad, job);
      }
      if (placement) {
        held[team] += requested;
        starts.emplace_back(job, *placement, "");
      } else if (kQueue == QueueRule::kWaitForFirst) {
        break;
      }
    }
    return { starts, {}, {} };
  }

private:
  std::optional<GangPlacement> Place(const DataCentreLoad& aLoad,
                                     const Job& aJob)
  {
    std::vector<std::int32_t> racks(aLoad.Racks().size());
    std::iota(racks.begin(), racks.end(), 0);
    this->Order(racks, [&](std::int32_t aRack) {
      const Rack& rack = aLoad.Racks()[aRack];
      std::int32_t free = 0;
      for (std::int32_t worker = 0; worker < rack.Count(); ++worker) {
        free +=
          CountAccelerators(this->occupancy[rack.First() + worker].Free());
      }
      return free;
    });
    for (const std::int32_t rack : racks) {
      std::optional<GangPlacement> placement =
        this->PlaceIn(aLoad, aLoad.Racks()[rack], aJob);
      if (placement) {
        return placement;
      }
    }
    return std::nullopt;
  }

  std::optional<GangPlacement> PlaceIn(const DataCentreLoad& aLoad,
                                       const Rack& aRack,
                                       const Job& aJob)
  {
    std::vector<std::int32_t> workers(aRack.Count());
    std::iota(workers.begin(), workers.end(), aRack.First());
    this->Order(workers, [this](std::int32_t aWorker) {
      return CountAccelerators(this->occupancy[aWorker].Free());
    });
    const std::int32_t size = aJob.GangShape().AcceleratorsPerMember();
    std::vector<WorkerOccupancy> next = this->occupancy;
    std::vector<AcceleratorRange> members;
    for (const std::int32_t worker : workers) {
      for (std::int32_t first = 0; first + size <= kMaxAccelerators; ++first) {
        const AcceleratorMask range = RangeMask(first, size);
        if ((range & ~next[worker].Free()) != 0 ||
            next[worker].FreeCores() < aJob.CoresPerMember() ||
            next[worker].FreeMemory() < aJob.MemoryPerMember()) {
          continue;
        }
        next[worker] = next[worker].WithBorrowed(
          range, aJob.CoresPerMember(), aJob.MemoryPerMember());
        members.push_back(BuildValid(AcceleratorRangeBuilder()
                                       .Worker(aLoad.Workers()[worker].Name())
                                       .First(first)
                                       .Count(size)));
        if (std::cmp_equal(members.size(), aJob.GangShape().Members())) {
          this->occupancy = next;
          return BuildValid(
            GangPlacementBuilder().Rack(aRack.Name()).Members(members));
        }
      }
    }
    return std::nullopt;
  }

  template<typename FreeOf>
  void Order(std::vector<std::int32_t>& aIndices, const FreeOf& aFreeOf)
  {
    if (kFit == FitRule::kBest) {
      std::ranges::stable_sort(aIndices, {}, aFreeOf);
    } else if (kFit == FitRule::kRandom) {
      std::ranges::shuffle(aIndices, this->random);
    }
  }

  std::minstd_rand random;
  std::vector<WorkerOccupancy> occupancy;
};

}
