#include "zones/scheduling_pass.h"

#include "contracts/placement_weights.h"
#include "zones/data_centre_load.h"
#include "zones/guarantee_packing.h"
#include "zones/waiting_job.h"

#include <algorithm>
#include <chrono>

namespace sardinecourse {

namespace {

/** Places that are tried for a guaranteed job besides its own block. */
constexpr std::size_t kMaxGuaranteedTries = 3;
constexpr const char* kForGuarantee = "for=guarantee";
/** Increase of the fragmentation weight that allows one more reservation at a
 * time. */
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
  if (this->DecideGuaranteed(aJob, *team)) {
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
    this->Wait(
      aJob,
      "quota=" + std::to_string(this->load.Teams()[*team].Quota()) +
        " held=" + std::to_string(this->quotas.HeldAccelerators(*team)));
    return;
  }
  if (this->Consolidate(aJob, *team) || this->Reserve(aJob)) {
    return;
  }
  this->Wait(aJob, "no rack has enough free resources for its shape");
}

ScheduleDecision
SchedulingPass::Decision() const
{
  return { this->starts, this->preemptions, this->waits };
}

/** Starts a guaranteed job or preempts gangs for it; false when no guarantee
 * covers the job or neither is possible. */
bool
SchedulingPass::DecideGuaranteed(const WaitingJob& aJob, std::int32_t aTeam)
{
  const std::optional<std::size_t> block = this->FindBlock(aJob, aTeam);
  if (!block) {
    return false;
  }
  const bool isWithinQuota =
    this->quotas.FitsNow(aTeam, AcceleratorsOf(aJob.Request()));
  return (isWithinQuota && this->StartGuaranteed(aJob, aTeam, *block)) ||
         this->ReclaimGuaranteed(aJob, aTeam, *block);
}

bool
SchedulingPass::StartGuaranteed(const WaitingJob& aJob,
                                std::int32_t aTeam,
                                std::size_t aBlock)
{
  std::vector<FreePlace> places =
    this->search.Find(aJob, ReservationUse::kIgnore);
  places.resize(std::min(places.size(), kMaxGuaranteedTries),
                FreePlace(0, 0, 0, {}));
  for (const FreePlace& place : places) {
    if (!this->IsWithinShare(aJob, place.Places())) {
      continue;
    }
    std::optional<std::vector<GuaranteeBlock>> remainingBlocks =
      RepackAround(this->load.Racks(),
                   this->occupancy,
                   this->blocks,
                   aBlock,
                   place.Places());
    if (!remainingBlocks) {
      continue;
    }
    this->blocks = std::move(*remainingBlocks);
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
SchedulingPass::ReclaimGuaranteed(const WaitingJob& aJob,
                                  std::int32_t aTeam,
                                  std::size_t aBlock)
{
  std::vector<ReclaimPlan> plans = PlanReclaims(this->load,
                                                this->occupancy,
                                                this->stopping,
                                                aJob.Request(),
                                                ReclaimScope::kEveryBorrowed,
                                                this->now);
  plans.resize(std::min(plans.size(), kMaxGuaranteedTries),
               ReclaimPlan({}, {}, 0));
  // The job's own block is tried last. It can always be reclaimed, whereas each
  // of the other plans may take accelerators that the remaining guarantees
  // need.
  std::optional<ReclaimPlan> ownBlockPlan =
    PlanReclaimAt(this->load,
                  this->occupancy,
                  this->stopping,
                  aJob.Request(),
                  ReclaimScope::kEveryBorrowed,
                  this->now,
                  this->blocks[aBlock].Places());
  if (ownBlockPlan) {
    plans.push_back(std::move(*ownBlockPlan));
  }
  for (const ReclaimPlan& plan : plans) {
    if (!this->IsWithinShare(aJob, plan.Places())) {
      continue;
    }
    std::optional<std::vector<GuaranteeBlock>> remainingBlocks = RepackAround(
      this->load.Racks(), this->occupancy, this->blocks, aBlock, plan.Places());
    if (!remainingBlocks) {
      continue;
    }
    const std::optional<ReclaimPlan> planWithinQuota =
      this->AddVictimsForQuota(aJob, aTeam, ReclaimScope::kEveryBorrowed, plan);
    if (!planWithinQuota) {
      continue;
    }
    this->blocks = std::move(*remainingBlocks);
    if (planWithinQuota->Victims().empty() &&
        this->quotas.FitsNow(aTeam, AcceleratorsOf(aJob.Request()))) {
      this->Start(aJob,
                  aTeam,
                  planWithinQuota->Places(),
                  true,
                  "guarantee=yes block=own");
    } else {
      this->Preempt(aJob, aTeam, *planWithinQuota, kForGuarantee);
    }
    return true;
  }
  return false;
}

bool
SchedulingPass::StartBorrowed(const WaitingJob& aJob, std::int32_t aTeam)
{
  const ReservationUse reservationUse = aJob.Request().Urgent()
                                          ? ReservationUse::kIgnore
                                          : ReservationUse::kRespect;
  const std::vector<FreePlace> places = this->search.Find(aJob, reservationUse);
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
 * Preempts small gangs that block a large one; they resume elsewhere from their
 * checkpoints. Does so only when the lost work, weighted for completion, does
 * not exceed the accelerator time for which the large gang has waited, weighted
 * for fragmentation.
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

/** Reserves places for a gang that needs whole workers; small gangs find free
 * accelerators without a reservation. */
bool
SchedulingPass::Reserve(const WaitingJob& aJob)
{
  const std::int32_t maxReservations =
    1 + this->weights.Fragmentation() / kWeightPerReservation;
  if (this->reservationCount >= maxReservations ||
      AcceleratorsOf(aJob.Request()) < kMinLargeGangAccelerators) {
    return false;
  }
  const std::optional<Instant> start =
    this->reservations.Reserve(this->occupancy, aJob.Request());
  if (!start) {
    return false;
  }
  ++this->reservationCount;
  const auto expectedWait =
    std::chrono::duration_cast<std::chrono::seconds>(*start - this->now);
  this->Wait(aJob,
             "reserved, expected to start in " +
               std::to_string(expectedWait.count()) + " s");
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
  const std::optional<ReclaimPlan> planWithinQuota = this->AddVictimsForQuota(
    aJob, aTeam, ReclaimScope::kNotUrgent, plans.front());
  if (!planWithinQuota) {
    return false;
  }
  this->Preempt(aJob, aTeam, *planWithinQuota, "for=urgent");
  return true;
}

/** Adds victims from the job's own team when borrowed gangs use up its quota.
 */
std::optional<ReclaimPlan>
SchedulingPass::AddVictimsForQuota(const WaitingJob& aJob,
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

/** A gang that uses more than its share of a worker's cores and memory could
 * prevent another guaranteed gang from starting there, so it runs only as
 * borrowed. */
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
  this->Allocate(aJob, aTeam, aPlaces, aIsGuaranteed);
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
      this->quotas.AddStop(*team,
                           shape.Members() * shape.AcceleratorsPerMember());
    }
    this->preemptions.emplace_back(
      gang.Team(),
      gang.Key(),
      job.Team(),
      job.Key(),
      aPurpose + " victims=" + std::to_string(aPlan.Victims().size()) +
        " cost=" + std::to_string(aPlan.Cost()));
  }
  this->Allocate(aJob, aTeam, aPlan.Places(), aPurpose == kForGuarantee);
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
SchedulingPass::Allocate(const WaitingJob& aJob,
                         std::int32_t aTeam,
                         const std::vector<MemberPlace>& aPlaces,
                         bool aIsGuaranteed)
{
  const Job& job = aJob.Request();
  this->quotas.AddStart(aTeam, AcceleratorsOf(job));
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
