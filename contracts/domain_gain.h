#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A takeover of a scheduling domain by this process. */
struct DomainGain
{
  /** Fencing token of the new term. */
  std::int64_t term = 0;
  /** Revision of the store row that holds the term. */
  std::int64_t termRevision = 0;
  /** Latest time at which an earlier holder may have renewed a worker's lease.
   */
  Instant renewedUntil{};
  /** See DomainOwner::BoundsKeptSince(). */
  std::int64_t boundsKeptSince = 0;

  auto operator<=>(const DomainGain&) const = default;
};

}
