#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A look at a worker, which also renews its lease and acknowledges ends. */
struct PollRequest
{
  /** Fencing token of the holder. */
  std::int64_t term = 0;
  /** Ends up to this number are forgotten by the worker. */
  std::int64_t acknowledged = 0;
  /** On the worker's clock; empty leases are not renewed by 0. */
  std::int64_t leaseUntilMs = 0;
  /** The answer waits so long for an end. */
  Milliseconds wait{ 0 };

  auto operator<=>(const PollRequest&) const = default;
};

}
