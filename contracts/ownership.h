#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** Who holds the racks of a data centre, as the row holder/<data centre> says.
 */
class Ownership
{
public:
  const HostName& Host() const { return this->host; }
  /** Fencing token; grows with every takeover. */
  std::int64_t Term() const { return this->term; }
  /** How long a renewal lasts. */
  Milliseconds Lease() const { return this->lease; }
  /** Hosts that may take over, and whose promises count while the platform is
   * away. */
  const std::vector<HostName>& Electorate() const { return this->electorate; }
  /** Grows with every renewal, so that each writes a value of its own. */
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
