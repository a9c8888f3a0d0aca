#pragma once

#include "contracts/job.h"
#include "core/instant.h"

#include <compare>

namespace sardinecourse {

/** An admitted job in the queue. */
class WaitingJob
{
public:
  /** The job as its team submitted it. */
  const Job& Request() const { return this->request; }
  /** When it was admitted. */
  Instant Submitted() const { return this->submitted; }
  /** Run time learned from similar jobs; zero when there are none. */
  Milliseconds ExpectedRunTime() const { return this->expectedRunTime; }

  auto operator<=>(const WaitingJob&) const = default;

private:
  friend class WaitingJobBuilder;

  Job request;
  Instant submitted;
  Milliseconds expectedRunTime{ 0 };
};

}
