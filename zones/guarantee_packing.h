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
 * Assigns disjoint blocks of aReclaimable, one mask per worker, to the units.
 * Every unit gets a block when the search finds a packing for all; otherwise
 * the units that do not fit are left out. The blocks prove that the units can
 * all be reclaimed at the same time.
 */
std::vector<GuaranteeBlock>
PackGuarantees(const std::vector<Rack>& aRacks,
               std::vector<AcceleratorMask> aReclaimable,
               std::vector<GuaranteeUnit> aUnits);

/** Blocks for the other units of aBlocks when the gang of block aStarted runs
 * at aPlaces; empty when a unit would be left without a block. */
std::optional<std::vector<GuaranteeBlock>>
RepackAround(const std::vector<Rack>& aRacks,
             const std::vector<WorkerOccupancy>& aOccupancy,
             const std::vector<GuaranteeBlock>& aBlocks,
             std::size_t aStarted,
             const std::vector<MemberPlace>& aPlaces);

/** Every unit of every guarantee, by team index. Guarantees without
 * accelerators are left out: they need no block. */
std::vector<GuaranteeUnit>
UnitsOf(const std::vector<Team>& aTeams);

/** True when each team's guarantees are within its quota and the racks can hold
 * all guarantees at once. Otherwise sets aReason (step kSettings) to the team,
 * or to the data centre when it has fewer accelerators than guaranteed gangs.
 */
bool
GuaranteesFit(const DataCentre& aDataCentre, Reason& aReason);

}
