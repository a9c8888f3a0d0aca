#pragma once

#include "core/instant.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** A poll of a worker, which also renews its lease and acknowledges ended runs.
 */
struct PollRequest
{
  /** Number of the fencing token. */
  std::int64_t token = 0;
  /** The worker removes ended runs up to this number from its list. */
  std::int64_t acknowledged = 0;
  /** When the renewed lease expires, in ms on the worker's clock; 0 if the
   * lease is not renewed. */
  std::int64_t leaseUntilMs = 0;
  /** Max time that the worker delays its answer until a run ends. */
  Milliseconds wait{ 0 };

  auto operator<=>(const PollRequest&) const = default;
};

}
