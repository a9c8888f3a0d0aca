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
 * What runs where in one data centre at one moment, as its workers report it.
 * Workers, racks, teams and gangs are addressed by their index here.
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
  /** Workers on which nothing may start: down, quarantined, or with tasks of
   * unknown origin. */
  const std::vector<WorkerName>& Unavailable() const
  {
    return this->unavailable;
  }

  /** One occupancy a worker. */
  const std::vector<WorkerOccupancy>& Occupancy() const
  {
    return this->occupancy;
  }
  /** Free accelerators of one worker, in runs of consecutive indices. */
  std::vector<AcceleratorRange> FreeRanges(std::int32_t aWorker) const;
  /** The places by name; empty when there are none. */
  std::optional<GangPlacement> PlacementAt(
    const std::vector<MemberPlace>& aPlaces) const;
  /** Where the members of a gang run. */
  std::span<const MemberPlace> PlacesOf(std::int32_t aGang) const;
  /** Gangs with members on the worker, one entry a member. */
  std::span<const std::int32_t> GangsOn(std::int32_t aWorker) const;
  /** Index of the gang's team; empty when the settings do not know it. */
  std::optional<std::int32_t> TeamOf(std::int32_t aGang) const;
  std::optional<std::int32_t> FindTeam(const TeamName& aTeam) const;
  /** Accelerators that the team's gangs hold. */
  std::int32_t Held(std::int32_t aTeam) const { return this->held[aTeam]; }
  /** True when the gang runs within its team's guarantee; any other gang is
   * borrowed and can be preempted. */
  bool IsGuaranteed(std::int32_t aGang) const
  {
    return this->guaranteed[aGang] != 0;
  }
  /** Blocks out of which the guaranteed gangs that do not run now can be
   * reclaimed, all at once. */
  const std::vector<GuaranteeBlock>& GuaranteeBlocks() const
  {
    return this->guaranteeBlocks;
  }
  /** Guaranteed gangs for which the available workers have no room. */
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
