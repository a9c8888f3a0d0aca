#pragma once

#include "contracts/domain_owner.h"
#include "contracts/store_clock.h"
#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

class DomainOwnerBuilder;

/**
 * One process's view of the lease on the scheduling domain, from which it
 * derives when it may take over or act as the holder. It is an immutable value:
 * each event returns a new one. All instants are on this host's clock. Writes
 * of the row are conditional on its revision, so at most one process holds a
 * term.
 */
class DomainLease
{
public:
  DomainLease(HostName aSelf, std::string aProcess, Milliseconds aLength);

  /** Applies a read of the row; aRow is empty when the row does not exist. */
  DomainLease RowObserved(std::optional<DomainOwner> aRow,
                          std::int64_t aRevision,
                          Instant aNow) const;
  /** Applies the recovery of the store after an outage. The holder may have
   * been cut off too, so it gets a short time to renew before another process
   * may take over. */
  DomainLease StoreRegained(Instant aNow) const;
  /** Applies a committed write of this process; aSent is a time before the
   * write was sent. */
  DomainLease RowWritten(DomainOwner aRow,
                         std::int64_t aRevision,
                         Instant aSent) const;

  /** Applies a reading of the store's clock. */
  DomainLease StoreClockRead(StoreClock aClock) const;

  const std::optional<DomainOwner>& Row() const { return this->row; }
  std::int64_t Revision() const { return this->revision; }
  /** Time until which no other process may take over. */
  Instant ExclusiveUntil() const { return this->sent + this->length; }
  /** Time from which this process may take over if the row stays unchanged. */
  Instant TakeoverTime() const;

  /** Latest time at which an earlier holder may renew a worker's lease if this
   * process takes over at aTakeover. */
  Instant RenewedUntil(Instant aTakeover) const;

  /** The row that a takeover writes at aNow, with the next term. aLastTerm is
   * the last term known from elsewhere, 0 for none. */
  std::optional<DomainOwner> TakeoverRow(Instant aNow,
                                         std::int64_t aLastTerm = 0) const;
  /** The row that a renewal writes at aNow, or with aIsRelease the release of
   * the domain. For the holder only; empty before a row was observed. */
  std::optional<DomainOwner> RenewalRow(bool aIsRelease, Instant aNow) const;
  /** Whether aRow was written by this process in the current term and is not
   * released. */
  bool IsSameHolder(const DomainOwner& aRow) const;

  auto operator<=>(const DomainLease&) const = default;

private:
  /** A row of this process that renews workers' leases until aRenewsUntil. */
  DomainOwnerBuilder MakeOwner(Instant aRenewsUntil) const;
  /** By when the process that the row names has ended its term; empty while it
   * may go on. */
  std::optional<Instant> OwnerGoneSince(Instant aNow) const;
  /** Whether the row says until when its holder and the ones before renew. */
  bool HasRenewalTimes() const;
  /** For the row of a takeover at aNow: the time on the store's clock after
   * which no holder before it renews a worker's lease; 0 when not known. */
  std::int64_t OthersUntilMs(Instant aNow) const;

  HostName self;
  std::string process;
  Milliseconds length;
  std::optional<DomainOwner> row;
  std::int64_t revision = 0;
  /** Whether the row, or that there is none, was ever observed. */
  bool isObserved = false;
  /** When the current revision of the row was first observed. */
  Instant unchangedSince{};
  /** When the current term of the row was first observed. */
  Instant termSince{};
  /** Latest reading of the store's clock. */
  std::optional<StoreClock> clock;
  /** A time before the last committed write of this process was sent. */
  Instant sent{};
};

}
