#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Identifies a task of a job; stays the same for all runs of the task. */
class TaskAddress
{
public:
  const JobKey& Job() const { return this->job; }
  std::int32_t Occurrence() const { return this->occurrence; }
  std::int32_t Step() const { return this->step; }
  std::int32_t Index() const { return this->index; }

  auto operator<=>(const TaskAddress&) const = default;

private:
  friend class TaskAddressBuilder;

  JobKey job;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t index = 0;
};

}
