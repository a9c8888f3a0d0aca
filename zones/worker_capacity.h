#pragma once

#include "machines/accelerator_mask.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** The part of one worker that a gang may use: its accelerators, and the number
 * of members that its cores and memory allow. */
class WorkerCapacity
{
public:
  WorkerCapacity(std::int32_t aWorker,
                 AcceleratorMask aAccelerators,
                 std::int32_t aMaxMembers)
    : accelerators(aAccelerators)
    , worker(aWorker)
    , maxMembers(aMaxMembers)
  {
  }

  std::int32_t Worker() const { return this->worker; }
  AcceleratorMask Accelerators() const { return this->accelerators; }
  std::int32_t MaxMembers() const { return this->maxMembers; }

  auto operator<=>(const WorkerCapacity&) const = default;

private:
  AcceleratorMask accelerators = 0;
  std::int32_t worker = 0;
  std::int32_t maxMembers = 0;
};

}
