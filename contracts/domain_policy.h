#pragma once

#include <compare>

namespace sardinecourse {

/** Weights that a DomainPass uses to prefer some work over other work. Shares
 * are from 0 to 1. */
class DomainPolicy
{
public:
  /** Share of the accelerators that batch work leaves free for urgent jobs
   * while the batch work can wait. */
  double BatchHeadroom() const { return this->batchHeadroom; }
  /** Share of its objective's slack that batch work may wait. After that it
   * leaves only Headroom() free. */
  double BatchWaitShare() const { return this->batchWaitShare; }
  /** Share of the accelerators that work which is neither urgent nor batch, or
   * batch work that can wait no longer, leaves free for urgent jobs. */
  double Headroom() const { return this->headroom; }
  /** Max ratio of work lost to preemption to the job's own work, both in
   * core-seconds, for an urgent job that is not due yet. */
  double MaxPreemptionWaste() const { return this->maxPreemptionWaste; }
  /** Share of its objective's slack that a job may wait for the rack that it
   * prefers. */
  double LocalityWaitShare() const { return this->localityWaitShare; }
  /** Share of the reclaim time that an urgent job may wait for the rack that it
   * prefers. */
  double UrgentLocalityWaitShare() const
  {
    return this->urgentLocalityWaitShare;
  }

  /** Whether placement takes the measured pace of workers into account. */
  bool IsPaceUsed() const { return this->isPaceUsed; }
  /** Whether the order of waiting work takes into account how teams and the
   * callers of each data centre were served. */
  bool IsRoomShared() const { return this->isRoomShared; }
  /** Whether kinds of work that slow each other down are kept apart. */
  bool AreKindsSeparated() const { return this->areKindsSeparated; }

  auto operator<=>(const DomainPolicy&) const = default;

private:
  friend class DomainPolicyBuilder;

  double batchHeadroom = 0.42;
  double batchWaitShare = 0.75;
  double headroom = 0.1;
  double maxPreemptionWaste = 1.0;
  double localityWaitShare = 1.0;
  double urgentLocalityWaitShare = 0.5;
  bool isPaceUsed = false;
  bool isRoomShared = false;
  bool areKindsSeparated = false;
};

}
