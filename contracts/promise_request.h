#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** The sender asks the receiver not to take over its racks for the length of a
 * lease, because it cannot renew its lease. */
struct PromiseRequest
{
  std::int64_t request = 0;
  /** Term of the lease that the sender holds. */
  std::int64_t term = 0;

  auto operator<=>(const PromiseRequest&) const = default;
};

}
