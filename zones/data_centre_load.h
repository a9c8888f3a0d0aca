#pragma once

#include "contracts/team.h"
#include "machines/accelerator_range.h"
#include "machines/worker.h"
#include "machines/worker_occupancy.h"
#include "zones/guarantee_block.h"
#include "zones/member_place.h"
#include "zones/rack.h"
#include "zones/running_gang.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace sardinecourse {

/**
 * Snapshot of what runs on the workers of one data centre, as they reported it.
 * Workers, racks, teams and gangs are addressed by their index in this
 * snapshot.
 */
class DataCentreLoad
{
public:
  const DataCentreName& DataCentre() const { return this->dataCentre; }
  /** Sorted by rack. */
  const std::vector<Worker>& Workers() const { return this->workers; }
  const std::vector<Rack>& Racks() const { return this->racks; }
  const std::vector<Team>& Teams() const { return this->teams; }
  const std::vector<RunningGang>& Running() const { return this->running; }
  /** Workers on which nothing may start: down, quarantined, or running tasks of
   * unknown origin. */
  const std::vector<WorkerName>& Unavailable() const
  {
    return this->unavailable;
  }

  /** Occupancy of each worker, by worker index. */
  const std::vector<WorkerOccupancy>& Occupancy() const
  {
    return this->occupancy;
  }
  /** Free accelerators of one worker, in runs of consecutive indices. */
  std::vector<AcceleratorRange> FreeRanges(std::int32_t aWorker) const;
  /** The placement with worker and rack names instead of indices. aPlaces must
   * not be empty; returns empty when a place is not a valid range. */
  std::optional<GangPlacement> PlacementAt(
    const std::vector<MemberPlace>& aPlaces) const;
  /** The gang's members on known workers; a member on a worker that is not in
   * this snapshot is left out. */
  std::span<const MemberPlace> PlacesOf(std::int32_t aGang) const;
  /** Gangs with members on the worker, one entry per member. */
  std::span<const std::int32_t> GangsOn(std::int32_t aWorker) const;
  /** Index of the gang's team; empty when the settings have no such team. */
  std::optional<std::int32_t> TeamOf(std::int32_t aGang) const;
  std::optional<std::int32_t> FindTeam(const TeamName& aTeam) const;
  /** Accelerators in use by the team's running gangs. */
  std::int32_t HeldAccelerators(std::int32_t aTeam) const
  {
    return this->held[aTeam];
  }
  /** True when the gang runs within its team's guarantee; any other gang is
   * borrowed and can be preempted. */
  bool IsGuaranteed(std::int32_t aGang) const
  {
    return this->guaranteed[aGang] != 0;
  }
  /** Disjoint blocks of accelerators from which the guaranteed gangs that are
   * not running can all be reclaimed at once. */
  const std::vector<GuaranteeBlock>& GuaranteeBlocks() const
  {
    return this->guaranteeBlocks;
  }
  /** Guaranteed gangs that the available workers cannot accommodate. */
  std::int32_t UnmetGuarantees() const { return this->unmetGuarantees; }

  auto operator<=>(const DataCentreLoad&) const = default;

private:
  friend class DataCentreLoadBuilder;

  DataCentreName dataCentre;
  std::vector<Worker> workers;
  std::vector<Rack> racks;
  std::vector<Team> teams;
  std::vector<RunningGang> running;
  std::vector<WorkerName> unavailable;

  std::vector<WorkerOccupancy> occupancy;
  std::vector<MemberPlace> places;
  /** Index into places of each gang's first member, and one past the last. */
  std::vector<std::int32_t> firstPlaces;
  std::vector<std::int32_t> gangs;
  /** Index into gangs of each worker's first entry, and one past the last. */
  std::vector<std::int32_t> firstGangs;
  /** Team index of each gang; -1 when unknown. */
  std::vector<std::int32_t> gangTeams;
  std::vector<std::int32_t> held;
  std::vector<char> guaranteed;
  std::vector<GuaranteeBlock> guaranteeBlocks;
  std::int32_t unmetGuarantees = 0;
};

}
