#pragma once

#include "machines/accelerator_mask.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

class Worker;

/** Resources in use on one worker: guaranteed ones, which are kept, and
 * borrowed ones, which can be reclaimed. Memory is in MB. */
class WorkerOccupancy
{
public:
  WorkerOccupancy() = default;
  /** A worker without running tasks. */
  explicit WorkerOccupancy(const Worker& aWorker);

  /** All accelerators of the worker; none when it is unavailable. */
  AcceleratorMask Usable() const { return this->usable; }
  /** Accelerators that no gang uses. */
  AcceleratorMask Free() const;
  /** Accelerators that are free or borrowed. */
  AcceleratorMask Reclaimable() const;
  std::int32_t FreeCores() const;
  /** In MB. */
  std::int32_t FreeMemory() const;
  /** Cores that are free or borrowed. */
  std::int32_t ReclaimableCores() const;
  /** Memory that is free or borrowed, in MB. */
  std::int32_t ReclaimableMemory() const;
  /** Cores of the worker; zero when it is unavailable. */
  std::int32_t Cores() const { return this->cores; }
  /** Memory of the worker in MB; zero when it is unavailable. */
  std::int32_t Memory() const { return this->memory; }

  /** True when a member's cores and memory are at most in proportion to its
   * share of the worker's accelerators. */
  bool IsWithinShare(std::int32_t aAccelerators,
                     std::int32_t aCores,
                     std::int32_t aMemory) const;

  WorkerOccupancy WithBorrowed(AcceleratorMask aMask,
                               std::int32_t aCores,
                               std::int32_t aMemory) const;
  WorkerOccupancy WithoutBorrowed(AcceleratorMask aMask,
                                  std::int32_t aCores,
                                  std::int32_t aMemory) const;
  WorkerOccupancy WithGuaranteed(AcceleratorMask aMask,
                                 std::int32_t aCores,
                                 std::int32_t aMemory) const;
  /** The same worker with no usable resources, so that nothing starts on it. */
  WorkerOccupancy Unavailable() const;

  auto operator<=>(const WorkerOccupancy&) const = default;

private:
  AcceleratorMask usable = 0;
  AcceleratorMask borrowed = 0;
  AcceleratorMask guaranteed = 0;
  std::int32_t cores = 0;
  std::int32_t memory = 0;
  std::int32_t borrowedCores = 0;
  std::int32_t borrowedMemory = 0;
  std::int32_t guaranteedCores = 0;
  std::int32_t guaranteedMemory = 0;
};

}
