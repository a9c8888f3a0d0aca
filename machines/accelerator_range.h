#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Accelerators with consecutive indices on one worker. */
class AcceleratorRange
{
public:
  const WorkerName& Worker() const { return this->worker; }
  /** Index of the first accelerator. */
  std::int32_t First() const { return this->first; }
  /** Number of accelerators; zero for a member that needs none. */
  std::int32_t Count() const { return this->count; }

  auto operator<=>(const AcceleratorRange&) const = default;

private:
  friend class AcceleratorRangeBuilder;

  WorkerName worker;
  std::int32_t first = 0;
  std::int32_t count = 0;
};

}
