#pragma once

#include "contracts/task_address.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a TaskAddress. Build() returns nullopt and sets aReason if the job is
 * missing or a number is negative. */
class TaskAddressBuilder
{
public:
  TaskAddressBuilder& Job(JobKey aJob);
  TaskAddressBuilder& Occurrence(std::int32_t aOccurrence);
  TaskAddressBuilder& Step(std::int32_t aStep);
  TaskAddressBuilder& Index(std::int32_t aIndex);
  std::optional<TaskAddress> Build(Reason& aReason) const;

private:
  TaskAddress value;
};

}
