#include "contracts/domain_timing.h"

#include <algorithm>

namespace sardinecourse {

namespace {

/** Time from the end of the holder's lease until the next holder has loaded the
 * domain and polled its workers. */
constexpr Milliseconds kTakeoverTime{ 2000 };
/** A poll that is not answered is repeated within 1.5 s (see WorkerPoller). */
constexpr Milliseconds kMaxLeavingLease{ 2500 };

}

Milliseconds
DomainTiming::LeavingLease() const
{
  return std::min(this->GrantedLease(), kMaxLeavingLease);
}

Milliseconds
DomainTiming::GrantedLease() const
{
  // A worker and the holder may be lost together. The next holder then waits
  // for all leases that the lost one may have granted until its grace time
  // ended, so these times add up.
  const Milliseconds takeover = this->holderLease + kTakeoverTime;
  const Milliseconds longest = this->restartTime - takeover - kRenewalGrace;
  return std::min(this->workerLease, std::max(longest, takeover));
}

}
