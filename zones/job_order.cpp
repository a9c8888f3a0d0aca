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

/** From here on a job no longer yields to teams that hold less. */
constexpr std::chrono::minutes kMaxQueueWait{ 10 };

enum class JobClass : std::uint8_t
{
  kUrgentClaim,
  kClaim,
  kUrgent,
  kLargePatienceOver,
  kLarge,
  kPatienceOver,
  kOther
};

class JobRank
{
public:
  JobRank(JobClass aJobClass,
          std::int64_t aReservations,
          Instant aSubmitted,
          std::int32_t aJob)
    : jobClass(aJobClass)
    , held(aReservations)
    , submitted(aSubmitted)
    , job(aJob)
  {
  }

  std::int32_t Job() const { return this->job; }

  auto operator<=>(const JobRank&) const = default;

private:
  JobClass jobClass;
  std::int64_t held;
  Instant submitted;
  std::int32_t job;
};

/** Guaranteed gangs that do not run and that no job was found for yet. */
class OpenClaims
{
public:
  explicit OpenClaims(const DataCentreLoad& aLoad)
    : load(aLoad)
  {
    for (const GuaranteeBlock& block : aLoad.GuaranteeBlocks()) {
      this->units.emplace_back(block.Team(), block.GangShape());
    }
  }

  /** True when the job is a claim; it then counts as the one for its unit. */
  bool Take(const Job& aJob)
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
  /** A gang with more than its share of a worker could keep a neighbour's
   * guarantee from starting, so it only borrows. */
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
ClassOf(const WaitingJob& aJob, bool aIsClaim, Instant aNow)
{
  // Claims go before urgent work, or that would take the accelerators that
  // stopped for a claim.
  if (aIsClaim) {
    return aJob.Request().Urgent() ? JobClass::kUrgentClaim : JobClass::kClaim;
  }
  if (aJob.Request().Urgent()) {
    return JobClass::kUrgent;
  }
  const bool isPatienceOver = aNow - aJob.Submitted() > kMaxQueueWait;
  const Shape shape = aJob.Request().GangShape();
  if (shape.Members() * shape.AcceleratorsPerMember() >=
      kMinLargeGangAccelerators) {
    return isPatienceOver ? JobClass::kLargePatienceOver : JobClass::kLarge;
  }
  return isPatienceOver ? JobClass::kPatienceOver : JobClass::kOther;
}

}

std::vector<std::int32_t>
OrderJobs(const DataCentreLoad& aLoad,
          const std::vector<WaitingJob>& aWaiting,
          Instant aNow)
{
  std::vector<std::int32_t> oldest(aWaiting.size());
  for (std::size_t job = 0; job < oldest.size(); ++job) {
    oldest[job] = static_cast<std::int32_t>(job);
  }
  std::ranges::stable_sort(oldest, {}, [&aWaiting](std::int32_t aJob) {
    return aWaiting[aJob].Submitted();
  });
  std::unordered_map<TeamName, std::int64_t> asked;
  for (std::size_t team = 0; team < aLoad.Teams().size(); ++team) {
    asked.emplace(aLoad.Teams()[team].Name(),
                  aLoad.Held(static_cast<std::int32_t>(team)));
  }
  OpenClaims claims(aLoad);
  std::vector<JobRank> ranks;
  ranks.reserve(oldest.size());
  for (const std::int32_t job : oldest) {
    const WaitingJob& waiting = aWaiting[job];
    const bool isClaim = claims.Take(waiting.Request());
    const JobClass jobClass = ClassOf(waiting, isClaim, aNow);
    std::int64_t& held = asked[waiting.Request().Team()];
    const bool isByAge = jobClass == JobClass::kPatienceOver ||
                         jobClass == JobClass::kLargePatienceOver;
    ranks.emplace_back(jobClass, isByAge ? 0 : held, waiting.Submitted(), job);
    const Shape shape = waiting.Request().GangShape();
    held += std::int64_t{ shape.Members() } * shape.AcceleratorsPerMember();
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
