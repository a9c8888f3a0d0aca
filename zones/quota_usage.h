#pragma once

#include <cstdint>
#include <vector>

namespace sardinecourse {

class DataCentreLoad;

/** What each team holds during one Schedule() call: now, and once the gangs
 * that were told to stop have stopped. */
class QuotaUsage
{
public:
  explicit QuotaUsage(const DataCentreLoad& aLoad);

  /** True when the team may take this many more accelerators now. */
  bool FitsNow(std::int32_t aTeam, std::int32_t aAccelerators) const;
  /** Accelerators that the team has to give up, besides what is stopping, to
   * take this many more. */
  std::int32_t Excess(std::int32_t aTeam, std::int32_t aAccelerators) const;
  std::int32_t Held(std::int32_t aTeam) const { return this->held[aTeam]; }

  void Take(std::int32_t aTeam, std::int32_t aAccelerators);
  void Stop(std::int32_t aTeam, std::int32_t aAccelerators);

private:
  std::vector<std::int32_t> quotas;
  std::vector<std::int32_t> held;
  std::vector<std::int32_t> heldLater;
};

}
