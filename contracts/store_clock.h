#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A reading of the store's steady clock, in ms, taken between the request and
 * its answer. Converts between that clock and this host's; both conversions err
 * to the later side, also when the clocks' rates differ. */
class StoreClock
{
public:
  StoreClock(std::int64_t aReadMs, Instant aSent, Instant aReceived);

  /** Latest time that the store's clock can show at aTime. */
  std::int64_t LatestAt(Instant aTime) const;
  /** Time by which the store's clock has reached aStoreMs. */
  Instant ReachedBy(std::int64_t aStoreMs) const;

  auto operator<=>(const StoreClock&) const = default;

private:
  std::int64_t readMs;
  Instant sent;
  Instant received;
};

}
