#pragma once

#include "zones/data_centre_load.h"

#include <optional>

namespace sardinecourse {

class GuaranteeUnit;
class Reason;

/** Builds a DataCentreLoad with its indices, occupancy and guarantee blocks;
 * Build() returns empty and sets aReason when the data centre has no name. */
class DataCentreLoadBuilder
{
public:
  DataCentreLoadBuilder& DataCentre(DataCentreName aDataCentre);
  DataCentreLoadBuilder& Workers(std::vector<Worker> aWorkers);
  DataCentreLoadBuilder& Teams(std::vector<Team> aTeams);
  DataCentreLoadBuilder& Running(std::vector<RunningGang> aRunning);
  DataCentreLoadBuilder& Unavailable(std::vector<WorkerName> aUnavailable);
  std::optional<DataCentreLoad> Build(Reason& aReason) const;

private:
  static void IndexMembers(DataCentreLoad& aLoad);
  static void IndexWorkers(DataCentreLoad& aLoad);
  static void IndexTeams(DataCentreLoad& aLoad);
  static void AssignGuarantees(DataCentreLoad& aLoad);
  static void FillOccupancy(DataCentreLoad& aLoad);
  static bool CanBeGuaranteed(const DataCentreLoad& aLoad, std::int32_t aGang);
  static std::vector<std::int32_t> FindCandidates(const DataCentreLoad& aLoad);
  static bool RemoveUnit(const DataCentreLoad& aLoad,
                         std::int32_t aGang,
                         std::vector<GuaranteeUnit>& aRemaining);
  static std::size_t AcceptOneByOne(
    DataCentreLoad& aLoad,
    const std::vector<std::int32_t>& aCandidates,
    const std::vector<GuaranteeUnit>& aUnits);
  static std::size_t PackAround(DataCentreLoad& aLoad,
                                const std::vector<std::int32_t>& aGuaranteed,
                                const std::vector<GuaranteeUnit>& aUnits);

  DataCentreLoad value;
};

}
