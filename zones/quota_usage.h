#pragma once

#include <cstdint>
#include <vector>

namespace sardinecourse {

class DataCentreLoad;

/** Accelerators that each team uses during one Schedule() call: now, and after
 * all gangs that are being stopped have stopped. */
class QuotaUsage
{
public:
  explicit QuotaUsage(const DataCentreLoad& aLoad);

  /** True when the team's quota allows this many more accelerators now. */
  bool FitsNow(std::int32_t aTeam, std::int32_t aAccelerators) const;
  /** Accelerators that the team must release, besides those of its stopping
   * gangs, before its quota allows this many more. */
  std::int32_t Excess(std::int32_t aTeam, std::int32_t aAccelerators) const;
  /** Accelerators that the team uses now. */
  std::int32_t HeldAccelerators(std::int32_t aTeam) const
  {
    return this->held[aTeam];
  }

  /** Counts a start, now and after the stops. */
  void AddStart(std::int32_t aTeam, std::int32_t aAccelerators);
  /** Counts a stop that was decided but has not happened yet. */
  void AddStop(std::int32_t aTeam, std::int32_t aAccelerators);

private:
  std::vector<std::int32_t> quotas;
  std::vector<std::int32_t> held;
  std::vector<std::int32_t> heldAfterStops;
};

}
