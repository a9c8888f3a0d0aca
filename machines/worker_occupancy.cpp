#include "machines/worker_occupancy.h"

#include "machines/worker.h"

#include <algorithm>

namespace sardinecourse {

WorkerOccupancy::WorkerOccupancy(const Worker& aWorker)
  : usable(RangeMask(0, std::min(aWorker.Accelerators(), kMaxAccelerators)))
  , cores(aWorker.Cores())
  , memory(aWorker.Memory())
{
}

AcceleratorMask
WorkerOccupancy::Free() const
{
  return this->usable & ~(this->borrowed | this->guaranteed);
}

AcceleratorMask
WorkerOccupancy::Reclaimable() const
{
  return this->usable & ~this->guaranteed;
}

std::int32_t
WorkerOccupancy::FreeCores() const
{
  return std::max(0, this->cores - this->borrowedCores - this->guaranteedCores);
}

std::int32_t
WorkerOccupancy::FreeMemory() const
{
  return std::max(0,
                  this->memory - this->borrowedMemory - this->guaranteedMemory);
}

std::int32_t
WorkerOccupancy::ReclaimableCores() const
{
  return std::max(0, this->cores - this->guaranteedCores);
}

std::int32_t
WorkerOccupancy::ReclaimableMemory() const
{
  return std::max(0, this->memory - this->guaranteedMemory);
}

bool
WorkerOccupancy::IsWithinShare(std::int32_t aAccelerators,
                               std::int32_t aCores,
                               std::int32_t aMemory) const
{
  const std::int64_t total = CountAccelerators(this->usable);
  return aCores * total <= std::int64_t{ this->cores } * aAccelerators &&
         aMemory * total <= std::int64_t{ this->memory } * aAccelerators;
}

WorkerOccupancy
WorkerOccupancy::WithBorrowed(AcceleratorMask aMask,
                              std::int32_t aCores,
                              std::int32_t aMemory) const
{
  WorkerOccupancy next = *this;
  next.borrowed |= aMask;
  next.borrowedCores += aCores;
  next.borrowedMemory += aMemory;
  return next;
}

WorkerOccupancy
WorkerOccupancy::WithoutBorrowed(AcceleratorMask aMask,
                                 std::int32_t aCores,
                                 std::int32_t aMemory) const
{
  WorkerOccupancy next = *this;
  next.borrowed &= ~aMask;
  next.borrowedCores -= aCores;
  next.borrowedMemory -= aMemory;
  return next;
}

WorkerOccupancy
WorkerOccupancy::WithGuaranteed(AcceleratorMask aMask,
                                std::int32_t aCores,
                                std::int32_t aMemory) const
{
  WorkerOccupancy next = *this;
  next.guaranteed |= aMask;
  next.guaranteedCores += aCores;
  next.guaranteedMemory += aMemory;
  return next;
}

WorkerOccupancy
WorkerOccupancy::Unavailable() const
{
  WorkerOccupancy next = *this;
  next.usable = 0;
  next.cores = 0;
  next.memory = 0;
  return next;
}

}
