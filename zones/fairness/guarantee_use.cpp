#include "zones/fairness/guarantee_use.h"

#include "zones/domain_state.h"

#include <algorithm>

namespace sardinecourse {

GuaranteeUse::GuaranteeUse(const DomainState& aDomain)
{
  for (const JobKey& key : aDomain.Active()) {
    const TrackedJob& job = aDomain.Jobs().at(key);
    if (job.Final() || job.Job().Priority() != 0) {
      continue;
    }
    std::int64_t maxAccelerators = 0;
    for (const JobStep& step : job.Job().Plan().Steps()) {
      maxAccelerators =
        std::max(maxAccelerators, step.Need().Accelerators() * step.Count());
    }
    const TeamName& team = job.Job().Team();
    const auto position =
      this->excess.try_emplace(team, -aDomain.GuaranteeOf(team)).first;
    position->second += maxAccelerators;
  }
}

bool
GuaranteeUse::IsWithinGuarantee(const TeamName& aTeam) const
{
  const auto found = this->excess.find(aTeam);
  return found == this->excess.end() || found->second <= 0;
}

}
