#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Asks the receiver not to take over the sender's racks for the length of a
 * lease, because the sender cannot renew its lease. */
struct PromiseRequest
{
  std::int64_t request = 0;
  /** Fencing token of the lease that the sender holds. */
  std::int64_t term = 0;

  auto operator<=>(const PromiseRequest&) const = default;
};

}
