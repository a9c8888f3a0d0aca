#pragma once

#include <compare>

namespace sardinecourse {

/** Weights by which a DomainPass serves some work before other work. Shares are
 * between 0 and 1; docs/MEASUREMENTS.md has the measurements of the defaults.
 */
class DomainPolicy
{
public:
  /** Share of the accelerators that batch work leaves to urgent jobs while it
   * can wait. */
  double BatchHeadroom() const { return this->batchHeadroom; }
  /** Share of the slack of its objective for which batch work can wait; then it
   * leaves no more than other work does. */
  double BatchWaitShare() const { return this->batchWaitShare; }
  /** The same for work that is neither urgent nor batch. */
  double Headroom() const { return this->headroom; }
  /** An urgent job that is not due yet has work stopped up to this share of its
   * own, both in core-seconds. */
  double MaxPreemptionWaste() const { return this->maxPreemptionWaste; }
  /** Share of the slack of a job's objective that it may spend on waiting for
   * the rack that it prefers. */
  double LocalityWaitShare() const { return this->localityWaitShare; }
  /** The same of the reclaim time, for urgent jobs. */
  double UrgentLocalityWaitShare() const
  {
    return this->urgentLocalityWaitShare;
  }

  auto operator<=>(const DomainPolicy&) const = default;

private:
  friend class DomainPolicyBuilder;

  double batchHeadroom = 0.42;
  double batchWaitShare = 0.75;
  double headroom = 0.1;
  double maxPreemptionWaste = 1.0;
  double localityWaitShare = 1.0;
  double urgentLocalityWaitShare = 0.5;
};

}
