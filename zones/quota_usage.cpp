#include "zones/quota_usage.h"

#include "zones/data_centre_load.h"

#include <algorithm>

namespace sardinecourse {

QuotaUsage::QuotaUsage(const DataCentreLoad& aLoad)
{
  for (std::size_t team = 0; team < aLoad.Teams().size(); ++team) {
    this->quotas.push_back(aLoad.Teams()[team].Quota());
    this->held.push_back(
      aLoad.HeldAccelerators(static_cast<std::int32_t>(team)));
  }
  this->heldAfterStops = this->held;
  for (std::size_t gang = 0; gang < aLoad.Running().size(); ++gang) {
    const RunningGang& running = aLoad.Running()[gang];
    const std::optional<std::int32_t> team =
      aLoad.TeamOf(static_cast<std::int32_t>(gang));
    if (running.Stopping() && team) {
      const Shape shape = running.GangShape();
      this->AddStop(*team, shape.Members() * shape.AcceleratorsPerMember());
    }
  }
}

bool
QuotaUsage::FitsNow(std::int32_t aTeam, std::int32_t aAccelerators) const
{
  return this->held[aTeam] + aAccelerators <= this->quotas[aTeam];
}

std::int32_t
QuotaUsage::Excess(std::int32_t aTeam, std::int32_t aAccelerators) const
{
  return std::max(
    0, this->heldAfterStops[aTeam] + aAccelerators - this->quotas[aTeam]);
}

void
QuotaUsage::AddStart(std::int32_t aTeam, std::int32_t aAccelerators)
{
  this->held[aTeam] += aAccelerators;
  this->heldAfterStops[aTeam] += aAccelerators;
}

void
QuotaUsage::AddStop(std::int32_t aTeam, std::int32_t aAccelerators)
{
  this->heldAfterStops[aTeam] -= aAccelerators;
}

}
