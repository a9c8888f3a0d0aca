#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** The process that holds a scheduling domain, as recorded in the domain's row
 * in the store. */
class DomainOwner
{
public:
  const HostName& Host() const { return this->host; }
  /** Identity of the holder process; changes with every restart. */
  const std::string& Process() const { return this->process; }
  /** Fencing token; increases with every takeover. */
  std::int64_t Term() const { return this->term; }
  /** Increases with every renewal, so that each renewal writes a new value. */
  std::int64_t Renewal() const { return this->renewal; }
  /** True if the holder released the domain; any host may take it over at
   * once. */
  bool IsReleased() const { return this->isReleased; }
  /** First term from which on every holder has granted a worker no lease while
   * a bound of its leases was stored; 0 when this holder does not. */
  std::int64_t BoundsKeptSince() const { return this->boundsKeptSince; }

  /** Time on the store's clock, in ms, after which this holder renews no
   * worker's lease unless it writes a later row; 0 when not known. */
  std::int64_t RenewsUntilMs() const { return this->renewsUntilMs; }
  /** Time on the store's clock, in ms, after which no earlier holder renews a
   * worker's lease; 0 when not known. */
  std::int64_t OthersUntilMs() const { return this->othersUntilMs; }

  auto operator<=>(const DomainOwner&) const = default;

private:
  friend class DomainOwnerBuilder;

  HostName host;
  std::string process;
  std::int64_t term = 0;
  std::int64_t renewal = 0;
  bool isReleased = false;
  std::int64_t boundsKeptSince = 0;
  std::int64_t renewsUntilMs = 0;
  std::int64_t othersUntilMs = 0;
};

}
