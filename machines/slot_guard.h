#pragma once

#include "machines/minion_state.h"

#include <memory>
#include <utility>

namespace sardinecourse {

/** Owns a slot taken at a minion and releases it on destruction. */
class SlotGuard
{
public:
  explicit SlotGuard(std::shared_ptr<MinionState> aMinion)
    : minion(std::move(aMinion))
  {
  }
  ~SlotGuard()
  {
    if (this->minion) {
      this->minion->Release();
    }
  }
  SlotGuard(SlotGuard&& aOther) noexcept
    : minion(std::exchange(aOther.minion, nullptr))
  {
  }
  SlotGuard& operator=(SlotGuard&&) = delete;

private:
  std::shared_ptr<MinionState> minion;
};

}
