#include "zones/job_order.h"

#include "zones/data_centre_load.h"
#include "zones/guarantee_unit.h"
#include "zones/reclaim.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <unordered_map>

namespace sardinecourse {

namespace {

/** A job that has waited longer than this goes by its age alone and no longer
 * after jobs of teams that use fewer accelerators. */
constexpr std::chrono::minutes kMaxQueueWait{ 10 };

enum class JobClass : std::uint8_t
{
  kUrgentGuaranteed,
  kGuaranteed,
  kUrgent,
  kLargeOverdue,
  kLarge,
  kOverdue,
  kOther
};

class JobRank
{
public:
  JobRank(JobClass aJobClass,
          std::int64_t aTeamAccelerators,
          Instant aSubmitted,
          std::int32_t aJob)
    : jobClass(aJobClass)
    , teamAccelerators(aTeamAccelerators)
    , submitted(aSubmitted)
    , job(aJob)
  {
  }

  std::int32_t Job() const { return this->job; }

  auto operator<=>(const JobRank&) const = default;

private:
  JobClass jobClass;
  std::int64_t teamAccelerators;
  Instant submitted;
  std::int32_t job;
};

/** Guaranteed gangs that are not running and have no waiting job assigned. */
class OpenGuarantees
{
public:
  explicit OpenGuarantees(const DataCentreLoad& aLoad)
    : load(aLoad)
  {
    for (const GuaranteeBlock& block : aLoad.GuaranteeBlocks()) {
      this->units.emplace_back(block.Team(), block.GangShape());
    }
  }

  /** Assigns the job to a unit of its team and shape. False when none is left
   * or the job exceeds its share of a worker. */
  bool Assign(const Job& aJob)
  {
    const std::optional<std::int32_t> team = this->load.FindTeam(aJob.Team());
    if (this->units.empty() || !team) {
      return false;
    }
    const auto unit =
      std::ranges::find(this->units, GuaranteeUnit(*team, aJob.GangShape()));
    if (unit == this->units.end() || !this->IsWithinShare(aJob)) {
      return false;
    }
    this->units.erase(unit);
    return true;
  }

private:
  /** A gang that uses more than its share of a worker's cores and memory could
   * prevent another guaranteed gang from starting there, so it runs only as
   * borrowed. */
  bool IsWithinShare(const Job& aJob) const
  {
    return std::ranges::any_of(
      this->load.Occupancy(), [&aJob](const WorkerOccupancy& aWorker) {
        return aWorker.Usable() != 0 &&
               aWorker.IsWithinShare(aJob.GangShape().AcceleratorsPerMember(),
                                     aJob.CoresPerMember(),
                                     aJob.MemoryPerMember());
      });
  }

  const DataCentreLoad& load;
  std::vector<GuaranteeUnit> units;
};

JobClass
ClassOf(const WaitingJob& aJob, bool aIsGuaranteed, Instant aNow)
{
  // Guaranteed jobs go before urgent ones, which would otherwise take the
  // accelerators of gangs that were stopped for a guarantee.
  if (aIsGuaranteed) {
    return aJob.Request().Urgent() ? JobClass::kUrgentGuaranteed
                                   : JobClass::kGuaranteed;
  }
  if (aJob.Request().Urgent()) {
    return JobClass::kUrgent;
  }
  const bool isOverdue = aNow - aJob.Submitted() > kMaxQueueWait;
  const Shape shape = aJob.Request().GangShape();
  if (shape.Members() * shape.AcceleratorsPerMember() >=
      kMinLargeGangAccelerators) {
    return isOverdue ? JobClass::kLargeOverdue : JobClass::kLarge;
  }
  return isOverdue ? JobClass::kOverdue : JobClass::kOther;
}

}

std::vector<std::int32_t>
OrderJobs(const DataCentreLoad& aLoad,
          const std::vector<WaitingJob>& aWaiting,
          Instant aNow)
{
  std::vector<std::int32_t> byAge(aWaiting.size());
  for (std::size_t job = 0; job < byAge.size(); ++job) {
    byAge[job] = static_cast<std::int32_t>(job);
  }
  std::ranges::stable_sort(byAge, {}, [&aWaiting](std::int32_t aJob) {
    return aWaiting[aJob].Submitted();
  });
  std::unordered_map<TeamName, std::int64_t> acceleratorsByTeam;
  for (std::size_t team = 0; team < aLoad.Teams().size(); ++team) {
    acceleratorsByTeam.emplace(
      aLoad.Teams()[team].Name(),
      aLoad.HeldAccelerators(static_cast<std::int32_t>(team)));
  }
  OpenGuarantees openGuarantees(aLoad);
  std::vector<JobRank> ranks;
  ranks.reserve(byAge.size());
  for (const std::int32_t job : byAge) {
    const WaitingJob& waiting = aWaiting[job];
    const bool isGuaranteed = openGuarantees.Assign(waiting.Request());
    const JobClass jobClass = ClassOf(waiting, isGuaranteed, aNow);
    std::int64_t& teamAccelerators =
      acceleratorsByTeam[waiting.Request().Team()];
    const bool isByAge =
      jobClass == JobClass::kOverdue || jobClass == JobClass::kLargeOverdue;
    ranks.emplace_back(
      jobClass, isByAge ? 0 : teamAccelerators, waiting.Submitted(), job);
    const Shape shape = waiting.Request().GangShape();
    teamAccelerators +=
      std::int64_t{ shape.Members() } * shape.AcceleratorsPerMember();
  }
  std::ranges::sort(ranks);
  std::vector<std::int32_t> order;
  order.reserve(ranks.size());
  for (const JobRank& rank : ranks) {
    order.push_back(rank.Job());
  }
  return order;
}

}
