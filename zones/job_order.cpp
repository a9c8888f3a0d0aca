#include "zones/job_order.h"

#include "zones/data_centre_load.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <unordered_map>

namespace sardinecourse {

namespace {

/** From here on a job no longer yields to teams that hold less. */
constexpr std::chrono::minutes kPatience{ 10 };

enum class JobClass : std::uint8_t
{
  kUrgent,
  kClaim,
  kPatienceOver,
  kOther
};

class JobRank
{
public:
  JobRank(JobClass aJobClass,
          std::int64_t aHeld,
          Instant aSubmitted,
          std::int32_t aJob)
    : jobClass(aJobClass)
    , held(aHeld)
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

JobClass
ClassOf(const DataCentreLoad& aLoad, const WaitingJob& aJob, Instant aNow)
{
  if (aJob.Request().Urgent()) {
    return JobClass::kUrgent;
  }
  if (IsClaim(aLoad, aJob.Request())) {
    return JobClass::kClaim;
  }
  return aNow - aJob.Submitted() > kPatience ? JobClass::kPatienceOver
                                             : JobClass::kOther;
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
  std::vector<JobRank> ranks;
  ranks.reserve(oldest.size());
  for (const std::int32_t job : oldest) {
    const WaitingJob& waiting = aWaiting[job];
    const JobClass jobClass = ClassOf(aLoad, waiting, aNow);
    std::int64_t& held = asked[waiting.Request().Team()];
    const bool isByAge = jobClass == JobClass::kPatienceOver;
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

bool
IsClaim(const DataCentreLoad& aLoad, const Job& aJob)
{
  const std::optional<std::int32_t> team = aLoad.FindTeam(aJob.Team());
  if (!team) {
    return false;
  }
  return std::ranges::any_of(
    aLoad.GuaranteeBlocks(), [&](const GuaranteeBlock& aBlock) {
      return aBlock.Team() == *team && aBlock.GangShape() == aJob.GangShape();
    });
}

}
