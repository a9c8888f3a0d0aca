#pragma once

#include "machines/accelerator_mask.h"
#include "zones/guarantee_block.h"
#include "zones/guarantee_unit.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace sardinecourse {

class DataCentre;
class Rack;
class Reason;
class Team;
class WorkerOccupancy;

/**
 * Disjoint blocks for the units out of aReclaimable, one mask a worker. Every
 * unit has one when the search finds room for all at once; otherwise those
 * without room are left out. The blocks themselves are the proof that they can
 * be reclaimed together.
 */
std::vector<GuaranteeBlock>
PackGuarantees(const std::vector<Rack>& aRacks,
               std::vector<AcceleratorMask> aReclaimable,
               std::vector<GuaranteeUnit> aUnits);

/** Blocks for what remains of aBlocks when the gang of block aTaken runs at
 * aPlaces; empty when one of them would be left without. */
std::optional<std::vector<GuaranteeBlock>>
RepackBeside(const std::vector<Rack>& aRacks,
             const std::vector<WorkerOccupancy>& aOccupancy,
             const std::vector<GuaranteeBlock>& aBlocks,
             std::size_t aTaken,
             const std::vector<MemberPlace>& aPlaces);

/** Every gang of every guarantee of the teams, by team index. */
std::vector<GuaranteeUnit>
UnitsOf(const std::vector<Team>& aTeams);

/** True when the racks can hold all guarantees of all teams at once; otherwise
 * the reason names a team that is left without. */
bool
GuaranteesFit(const DataCentre& aDataCentre, Reason& aReason);

}
