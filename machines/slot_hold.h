#pragma once

#include "machines/minion_slot.h"

#include <memory>
#include <utility>

namespace sardinecourse {

/** A slot that was taken on a minion; given back when the object goes. */
class SlotHold
{
public:
  explicit SlotHold(std::shared_ptr<MinionSlot> aSlot)
    : slot(std::move(aSlot))
  {
  }
  ~SlotHold()
  {
    if (this->slot) {
      this->slot->Release();
    }
  }
  SlotHold(SlotHold&& aOther) noexcept
    : slot(std::exchange(aOther.slot, nullptr))
  {
  }
  SlotHold& operator=(SlotHold&&) = delete;

private:
  std::shared_ptr<MinionSlot> slot;
};

}
