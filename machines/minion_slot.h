#pragma once

#include "machines/minion.h"

#include <atomic>
#include <cstdint>
#include <utility>

namespace sardinecourse {

/**
 * A minion with this host's live counters of it. It outlives the snapshots that
 * name it, so that counts survive a change of settings.
 */
class MinionSlot
{
public:
  explicit MinionSlot(Minion aMinion)
    : minion(std::move(aMinion))
  {
  }

  const Minion& Upstream() const { return this->minion; }
  /** Requests that this host has under way there. */
  std::int32_t InFlight() const
  {
    return this->inFlight.load(std::memory_order_relaxed);
  }

  /** Takes a slot unless this host already holds aShare of them; never waits.
   */
  bool TryAcquire(std::int32_t aShare)
  {
    if (this->inFlight.fetch_add(1, std::memory_order_acq_rel) < aShare) {
      return true;
    }
    this->Release();
    return false;
  }
  void Release() { this->inFlight.fetch_sub(1, std::memory_order_acq_rel); }

private:
  Minion minion;
  std::atomic<std::int32_t> inFlight = 0;
};

}
