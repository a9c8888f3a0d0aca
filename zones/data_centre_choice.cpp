#include "zones/data_centre_choice.h"

#include "contracts/job.h"
#include "core/reason.h"
#include "zones/admission.h"
#include "zones/fleet.h"

#include <algorithm>
#include <tuple>

namespace sardinecourse {

namespace {

bool
IsGuaranteed(const DataCentre& aDataCentre, const Job& aJob)
{
  return std::ranges::any_of(aDataCentre.Teams(), [&aJob](const Team& aTeam) {
    return aTeam.Name() == aJob.Team() &&
           std::ranges::any_of(
             aTeam.Guarantees(), [&aJob](const Guarantee& aGuarantee) {
               return aGuarantee.GangShape() == aJob.GangShape();
             });
  });
}

std::int64_t
Accelerators(const DataCentre& aDataCentre)
{
  std::int64_t count = 0;
  for (const Worker& worker : aDataCentre.Workers()) {
    count += worker.Accelerators();
  }
  return count;
}

}

std::optional<DataCentreName>
ChooseDataCentre(const Fleet& aFleet,
                 const Job& aJob,
                 const DataCentreName& aLocal,
                 Reason& aReason)
{
  using Rank = std::tuple<bool, bool, std::int64_t>;
  std::optional<DataCentreName> best;
  Rank bestRank;
  Reason refusal(Step::kAdmission, aJob.Key().Text(), "no data centre");
  for (const DataCentre& dataCentre : aFleet.DataCentres()) {
    const bool isLocal = dataCentre.Name() == aLocal;
    Reason reason;
    if (!CanEverRun(dataCentre, aJob, reason)) {
      refusal =
        isLocal || refusal.Text() == "no data centre" ? reason : refusal;
      continue;
    }
    const Rank rank(
      IsGuaranteed(dataCentre, aJob), isLocal, Accelerators(dataCentre));
    if (!best || rank > bestRank) {
      best = dataCentre.Name();
      bestRank = rank;
    }
  }
  if (!best) {
    aReason = refusal;
  }
  return best;
}

}
