#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <map>
#include <utility>

namespace sardinecourse {

/** How long the open jobs of a scheduling domain keep its workers busy, as its
 * holder states it to the hosts that admit jobs. */
class DomainBacklog
{
public:
  /** By service and priority. */
  using Waits = std::map<std::pair<ServiceName, std::int32_t>, Milliseconds>;

  /** Shortest time until a new job of the service could start, if all jobs of
   * its priority or a more urgent one go first; zero when that is not known. */
  Milliseconds WaitOf(const ServiceName& aService, std::int32_t aPriority) const
  {
    auto found = this->waits.upper_bound({ aService, aPriority });
    if (found == this->waits.begin()) {
      return Milliseconds(0);
    }
    --found;
    return found->first.first == aService ? found->second : Milliseconds(0);
  }
  const Waits& All() const { return this->waits; }
  /** Number of the statement. The holder repeats a statement under a new number
   * while it holds, so that hosts see that it is up to date. */
  std::int64_t Number() const { return this->number; }

  auto operator<=>(const DomainBacklog&) const = default;

private:
  friend class DomainBacklogBuilder;

  Waits waits;
  std::int64_t number = 0;
};

}
