#pragma once

#include "machines/accelerator_mask.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Accelerators of one member of a gang, by index of its worker in the
 * DataCentreLoad.
 */
class MemberPlace
{
public:
  MemberPlace(std::int32_t aWorker, std::int32_t aFirst, std::int32_t aCount)
    : worker(aWorker)
    , first(aFirst)
    , count(aCount)
  {
  }

  std::int32_t Worker() const { return this->worker; }
  /** Index of its first accelerator. */
  std::int32_t First() const { return this->first; }
  /** Number of its accelerators. */
  std::int32_t Count() const { return this->count; }
  AcceleratorMask Mask() const { return RangeMask(this->first, this->count); }

  auto operator<=>(const MemberPlace&) const = default;

private:
  std::int32_t worker = 0;
  std::int32_t first = 0;
  std::int32_t count = 0;
};

}
