#include "zones/scheduling_pass.h"

#include "contracts/placement_weights.h"
#include "zones/data_centre_load.h"
#include "zones/guarantee_packing.h"
#include "zones/waiting_job.h"

#include <algorithm>
#include <chrono>

namespace sardinecourse {

namespace {

/** Places that are tried for a claim besides its own block. */
constexpr std::size_t kMaxClaimTries = 3;
constexpr const char* kForGuarantee = "for=guarantee";
/** Fragmentation weight that adds one more reservation at a time. */
constexpr std::int32_t kWeightPerReservation = 20;

std::int32_t
AcceleratorsOf(const Job& aJob)
{
  return aJob.GangShape().Members() * aJob.GangShape().AcceleratorsPerMember();
}

}

SchedulingPass::SchedulingPass(const DataCentreLoad& aLoad,
                               const PlacementWeights& aWeights,
                               std::vector<Shape> aReferences,
                               Instant aNow)
  : load(aLoad)
  , weights(aWeights)
  , now(aNow)
  , occupancy(aLoad.Occupancy())
  , quotas(aLoad)
  , reservations(aLoad, aNow)
  , search(aLoad, this->occupancy, this->reservations, std::move(aReferences))
  , blocks(aLoad.GuaranteeBlocks())
{
  this->stopping.reserve(aLoad.Running().size());
  for (const RunningGang& gang : aLoad.Running()) {
    this->stopping.push_back(gang.Stopping() ? 1 : 0);
  }
}

void
SchedulingPass::Decide(const WaitingJob& aJob)
{
  const Job& job = aJob.Request();
  const std::optional<std::int32_t> team = this->load.FindTeam(job.Team());
  if (!team) {
    this->Wait(aJob, "team=unknown");
    return;
  }
  if (this->DecideClaim(aJob, *team)) {
    return;
  }
  const bool isWithinQuota = this->quotas.FitsNow(*team, AcceleratorsOf(job));
  if (isWithinQuota && this->StartBorrowed(aJob, *team)) {
    return;
  }
  if (job.Urgent() && this->ReclaimUrgent(aJob, *team)) {
    return;
  }
  if (!isWithinQuota) {
    this->Wait(aJob,
               "quota=" + std::to_string(this->load.Teams()[*team].Quota()) +
                 " held=" + std::to_string(this->quotas.Held(*team)));
    return;
  }
  if (this->Consolidate(aJob, *team) || this->Reserve(aJob)) {
    return;
  }
  this->Wait(aJob, "no rack has room for its shape");
}

ScheduleDecision
SchedulingPass::Decision() const
{
  return { this->starts, this->preemptions, this->waits };
}

/** A claim starts or reclaims its accelerators at once; false when the job is
 * none. */
bool
SchedulingPass::DecideClaim(const WaitingJob& aJob, std::int32_t aTeam)
{
  const std::optional<std::size_t> block = this->FindBlock(aJob, aTeam);
  if (!block) {
    return false;
  }
  const bool isWithinQuota =
    this->quotas.FitsNow(aTeam, AcceleratorsOf(aJob.Request()));
  return (isWithinQuota && this->StartClaim(aJob, aTeam, *block)) ||
         this->ReclaimClaim(aJob, aTeam, *block);
}

bool
SchedulingPass::StartClaim(const WaitingJob& aJob,
                           std::int32_t aTeam,
                           std::size_t aBlock)
{
  std::vector<FreePlace> places =
    this->search.Find(aJob, ReservationUse::kIgnore);
  places.resize(std::min(places.size(), kMaxClaimTries),
                FreePlace(0, 0, 0, {}));
  for (const FreePlace& place : places) {
    if (!this->IsWithinShare(aJob, place.Places())) {
      continue;
    }
    std::optional<std::vector<GuaranteeBlock>> rest =
      RepackBeside(this->load.Racks(),
                   this->occupancy,
                   this->blocks,
                   aBlock,
                   place.Places());
    if (!rest) {
      continue;
    }
    this->blocks = std::move(*rest);
    this->Start(aJob,
                aTeam,
                place.Places(),
                true,
                "guarantee=yes loss=" + std::to_string(place.Loss()));
    return true;
  }
  return false;
}

bool
SchedulingPass::ReclaimClaim(const WaitingJob& aJob,
                             std::int32_t aTeam,
                             std::size_t aBlock)
{
  std::vector<ReclaimPlan> plans = PlanReclaims(this->load,
                                                this->occupancy,
                                                this->stopping,
                                                aJob.Request(),
                                                ReclaimScope::kEveryBorrowed,
                                                this->now);
  plans.resize(std::min(plans.size(), kMaxClaimTries), ReclaimPlan({}, {}, 0));
  // The claim's own block comes last: it can always be had, whatever the others
  // would take from the remaining guarantees.
  std::optional<ReclaimPlan> own = PlanReclaimAt(this->load,
                                                 this->occupancy,
                                                 this->stopping,
                                                 aJob.Request(),
                                                 ReclaimScope::kEveryBorrowed,
                                                 this->now,
                                                 this->blocks[aBlock].Places());
  if (own) {
    plans.push_back(std::move(*own));
  }
  for (const ReclaimPlan& plan : plans) {
    if (!this->IsWithinShare(aJob, plan.Places())) {
      continue;
    }
    std::optional<std::vector<GuaranteeBlock>> rest = RepackBeside(
      this->load.Racks(), this->occupancy, this->blocks, aBlock, plan.Places());
    if (!rest) {
      continue;
    }
    const std::optional<ReclaimPlan> whole =
      this->WithinQuota(aJob, aTeam, ReclaimScope::kEveryBorrowed, plan);
    if (!whole) {
      continue;
    }
    this->blocks = std::move(*rest);
    if (whole->Victims().empty() &&
        this->quotas.FitsNow(aTeam, AcceleratorsOf(aJob.Request()))) {
      this->Start(
        aJob, aTeam, whole->Places(), true, "guarantee=yes block=own");
    } else {
      this->Preempt(aJob, aTeam, *whole, kForGuarantee);
    }
    return true;
  }
  return false;
}

bool
SchedulingPass::StartBorrowed(const WaitingJob& aJob, std::int32_t aTeam)
{
  const ReservationUse use = aJob.Request().Urgent() ? ReservationUse::kIgnore
                                                     : ReservationUse::kRespect;
  const std::vector<FreePlace> places = this->search.Find(aJob, use);
  if (places.empty()) {
    return false;
  }
  const FreePlace& best = places.front();
  this->Start(aJob,
              aTeam,
              best.Places(),
              false,
              "guarantee=no loss=" + std::to_string(best.Loss()) +
                " free_after=" + std::to_string(best.FreeAfter()));
  return true;
}

/**
 * Stops small gangs that keep a large one waiting: they go on elsewhere from
 * their checkpoints. It has to pay for itself: the work that is lost is weighed
 * against the accelerator time for which the large gang has waited.
 */
bool
SchedulingPass::Consolidate(const WaitingJob& aJob, std::int32_t aTeam)
{
  const std::int32_t accelerators = AcceleratorsOf(aJob.Request());
  if (accelerators < kMinLargeGangAccelerators) {
    return false;
  }
  const std::vector<ReclaimPlan> plans = PlanReclaims(this->load,
                                                      this->occupancy,
                                                      this->stopping,
                                                      aJob.Request(),
                                                      ReclaimScope::kSmall,
                                                      this->now);
  if (plans.empty()) {
    return false;
  }
  const auto waited =
    std::chrono::duration_cast<Milliseconds>(this->now - aJob.Submitted());
  if (plans.front().Cost() * this->weights.Completion() >
      accelerators * waited.count() * this->weights.Fragmentation()) {
    return false;
  }
  this->Preempt(aJob, aTeam, plans.front(), "for=consolidation");
  return true;
}

/** Keeps a place for a gang that needs whole workers: small ones find room
 * without. */
bool
SchedulingPass::Reserve(const WaitingJob& aJob)
{
  const std::int32_t most =
    1 + this->weights.Fragmentation() / kWeightPerReservation;
  if (this->reserved >= most ||
      AcceleratorsOf(aJob.Request()) < kMinLargeGangAccelerators) {
    return false;
  }
  const std::optional<Instant> begin =
    this->reservations.Reserve(this->occupancy, aJob.Request());
  if (!begin) {
    return false;
  }
  ++this->reserved;
  const auto wait =
    std::chrono::duration_cast<std::chrono::seconds>(*begin - this->now);
  this->Wait(aJob,
             "reserved, expected to start in " + std::to_string(wait.count()) +
               " s");
  return true;
}

bool
SchedulingPass::ReclaimUrgent(const WaitingJob& aJob, std::int32_t aTeam)
{
  const std::vector<ReclaimPlan> plans = PlanReclaims(this->load,
                                                      this->occupancy,
                                                      this->stopping,
                                                      aJob.Request(),
                                                      ReclaimScope::kNotUrgent,
                                                      this->now);
  if (plans.empty()) {
    return false;
  }
  const std::optional<ReclaimPlan> whole =
    this->WithinQuota(aJob, aTeam, ReclaimScope::kNotUrgent, plans.front());
  if (!whole) {
    return false;
  }
  this->Preempt(aJob, aTeam, *whole, "for=urgent");
  return true;
}

/** A team whose quota is taken by borrowed gangs gives up some of them. */
std::optional<ReclaimPlan>
SchedulingPass::WithinQuota(const WaitingJob& aJob,
                            std::int32_t aTeam,
                            ReclaimScope aScope,
                            const ReclaimPlan& aPlan) const
{
  const Job& job = aJob.Request();
  const std::int32_t excess = this->quotas.Excess(aTeam, AcceleratorsOf(job));
  if (excess == 0) {
    return aPlan;
  }
  return AddOwnVictims(this->load,
                       this->occupancy,
                       this->stopping,
                       job,
                       aScope,
                       this->now,
                       aPlan,
                       excess);
}

std::optional<std::size_t>
SchedulingPass::FindBlock(const WaitingJob& aJob, std::int32_t aTeam) const
{
  const auto block =
    std::ranges::find_if(this->blocks, [&](const GuaranteeBlock& aBlock) {
      return aBlock.Team() == aTeam &&
             aBlock.GangShape() == aJob.Request().GangShape();
    });
  if (block == this->blocks.end()) {
    return std::nullopt;
  }
  return block - this->blocks.begin();
}

/** A gang with more than its share of a worker could keep a neighbour's
 * guarantee from starting, so it only borrows. */
bool
SchedulingPass::IsWithinShare(const WaitingJob& aJob,
                              const std::vector<MemberPlace>& aPlaces) const
{
  const Job& job = aJob.Request();
  return std::ranges::all_of(aPlaces, [&](const MemberPlace& aPlace) {
    return this->occupancy[aPlace.Worker()].IsWithinShare(
      aPlace.Count(), job.CoresPerMember(), job.MemoryPerMember());
  });
}

void
SchedulingPass::Start(const WaitingJob& aJob,
                      std::int32_t aTeam,
                      const std::vector<MemberPlace>& aPlaces,
                      bool aIsGuaranteed,
                      std::string aText)
{
  std::optional<GangPlacement> placement = this->load.PlacementAt(aPlaces);
  if (!placement) {
    this->Wait(aJob, "its placement could not be built");
    return;
  }
  this->starts.emplace_back(
    aJob.Request(), std::move(*placement), std::move(aText));
  this->Take(aJob, aTeam, aPlaces, aIsGuaranteed);
}

void
SchedulingPass::Preempt(const WaitingJob& aJob,
                        std::int32_t aTeam,
                        const ReclaimPlan& aPlan,
                        const std::string& aPurpose)
{
  const Job& job = aJob.Request();
  for (const std::int32_t victim : aPlan.Victims()) {
    if (this->stopping[victim] != 0) {
      continue;
    }
    this->stopping[victim] = 1;
    const RunningGang& gang = this->load.Running()[victim];
    const std::optional<std::int32_t> team = this->load.TeamOf(victim);
    if (team) {
      const Shape shape = gang.GangShape();
      this->quotas.Stop(*team, shape.Members() * shape.AcceleratorsPerMember());
    }
    this->preemptions.emplace_back(
      gang.Team(),
      gang.Key(),
      job.Team(),
      job.Key(),
      aPurpose + " victims=" + std::to_string(aPlan.Victims().size()) +
        " cost=" + std::to_string(aPlan.Cost()));
  }
  this->Take(aJob, aTeam, aPlan.Places(), aPurpose == kForGuarantee);
  this->Wait(aJob,
             std::to_string(aPlan.Victims().size()) +
               " borrowed gangs have to stop first");
}

void
SchedulingPass::Wait(const WaitingJob& aJob, std::string aText)
{
  this->waits.emplace_back(
    aJob.Request().Team(), aJob.Request().Key(), std::move(aText));
}

void
SchedulingPass::Take(const WaitingJob& aJob,
                     std::int32_t aTeam,
                     const std::vector<MemberPlace>& aPlaces,
                     bool aIsGuaranteed)
{
  const Job& job = aJob.Request();
  this->quotas.Take(aTeam, AcceleratorsOf(job));
  for (const MemberPlace& place : aPlaces) {
    WorkerOccupancy& worker = this->occupancy[place.Worker()];
    worker = aIsGuaranteed
               ? worker.WithGuaranteed(
                   place.Mask(), job.CoresPerMember(), job.MemoryPerMember())
               : worker.WithBorrowed(
                   place.Mask(), job.CoresPerMember(), job.MemoryPerMember());
  }
}

}
