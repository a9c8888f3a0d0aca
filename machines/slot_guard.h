#pragma once

#include "machines/minion_state.h"

#include <memory>
#include <utility>

namespace sardinecourse {

/** A slot that was taken on a minion; given back when the object goes. */
class SlotGuard
{
public:
  explicit SlotGuard(std::shared_ptr<MinionState> aSlot)
    : slot(std::move(aSlot))
  {
  }
  ~SlotGuard()
  {
    if (this->slot) {
      this->slot->Release();
    }
  }
  SlotGuard(SlotGuard&& aOther) noexcept
    : slot(std::exchange(aOther.slot, nullptr))
  {
  }
  SlotGuard& operator=(SlotGuard&&) = delete;

private:
  std::shared_ptr<MinionState> slot;
};

}
