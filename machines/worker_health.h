#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/**
 * Outcomes of the starts on a worker. Two failures in a row quarantine it; each
 * further failure quarantines it again, for twice as long each time. A success
 * resets the count.
 */
class WorkerHealth
{
public:
  explicit WorkerHealth(WorkerName aWorker);

  const WorkerName& Worker() const { return this->worker; }
  /** Failures since the last success. */
  std::int32_t Failures() const { return this->failures; }
  /** End of its last quarantine. */
  Instant QuarantinedUntil() const { return this->quarantinedUntil; }
  bool IsQuarantined(Instant aNow) const
  {
    return aNow < this->quarantinedUntil;
  }

  WorkerHealth AfterSuccess() const;
  WorkerHealth AfterFailure(Instant aNow) const;

  auto operator<=>(const WorkerHealth&) const = default;

private:
  WorkerName worker;
  std::int32_t failures = 0;
  Instant quarantinedUntil;
};

}
