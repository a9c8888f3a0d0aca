#pragma once

#include "machines/accelerator_mask.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** What a gang may use of one worker: its accelerators, and how many members
 * its cores and memory can take. */
class WorkerRoom
{
public:
  WorkerRoom(std::int32_t aWorker,
             AcceleratorMask aAccelerators,
             std::int32_t aMostMembers)
    : accelerators(aAccelerators)
    , worker(aWorker)
    , mostMembers(aMostMembers)
  {
  }

  std::int32_t Worker() const { return this->worker; }
  AcceleratorMask Accelerators() const { return this->accelerators; }
  std::int32_t MostMembers() const { return this->mostMembers; }

  auto operator<=>(const WorkerRoom&) const = default;

private:
  AcceleratorMask accelerators = 0;
  std::int32_t worker = 0;
  std::int32_t mostMembers = 0;
};

}
