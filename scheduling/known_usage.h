#pragma once

#include "contracts/domain_usage.h"
#include "core/instant.h"

#include <cstdint>
#include <vector>

namespace sardinecourse {

struct CallContext;
class Reason;
class TableRow;

/** The usage of the domain as this host last read it, with the jobs that it has
 * stored since. */
class KnownUsage
{
public:
  /** Revision of the row that was read; 0 when there was none. An admission
   * depends on it. */
  std::int64_t Revision() const { return this->revision; }
  /** Whether a job may be refused by this usage without reading it again. */
  bool IsFresh(Instant aNow) const;
  /** Whether there is room for a job of aBytes; when false, the reason is set.
   */
  bool HasRoom(const CallContext& aCallContext,
               std::int64_t aBytes,
               Reason& aReason) const;
  /** Takes the usage from rows that contain its row, if the store has one. */
  void Update(const std::vector<TableRow>& aRows, Instant aNow);
  /** Adds a job that this host has stored. */
  void Add(const CallContext& aCallContext, std::int64_t aBytes);

private:
  DomainUsage usage;
  std::int64_t revision = 0;
  Instant readAt{};
};

}
