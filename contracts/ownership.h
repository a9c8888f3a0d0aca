#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** Holder of the racks of a data centre, as recorded in the row holder/<data
 * centre>. */
class Ownership
{
public:
  const HostName& Host() const { return this->host; }
  /** Fencing token; increases with every takeover. */
  std::int64_t Term() const { return this->term; }
  /** How long the lease lasts after a renewal. */
  Milliseconds Lease() const { return this->lease; }
  /** Hosts that may take over. While the platform is unreachable, the holder
   * needs their promises to keep its lease. */
  const std::vector<HostName>& Electorate() const { return this->electorate; }
  /** Increases with every renewal, so that each renewal writes a new value. */
  std::int64_t Renewal() const { return this->renewal; }

  auto operator<=>(const Ownership&) const = default;

private:
  friend class OwnershipBuilder;

  HostName host;
  std::int64_t term = 0;
  Milliseconds lease{ 0 };
  std::vector<HostName> electorate;
  std::int64_t renewal = 0;
};

}
