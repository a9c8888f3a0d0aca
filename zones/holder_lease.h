#pragma once

#include "contracts/ownership.h"
#include "contracts/promise_answer.h"
#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinecourse {

/**
 * One host's state of the lease on its data centre's racks: which host holds
 * it, and whether this host may command workers or take over. It is an
 * immutable value: each event returns a new one. All instants are on this
 * host's monotonic clock.
 */
class HolderLease
{
public:
  /** aMargin is the wait of this host beyond a lease, for clock drift. */
  HolderLease(HostName aSelf, Instant aStartedAt, Milliseconds aMargin);

  /** After a read of the ownership row; aRow is empty when there is none yet.
   */
  HolderLease RowRead(std::optional<Ownership> aRow,
                      std::int64_t aRevision,
                      Instant aNow) const;
  /** After this host's write of the row took effect; aSentAt is an instant
   * before the write was sent. */
  HolderLease RowWritten(Ownership aRow,
                         std::int64_t aRevision,
                         Instant aSentAt) const;
  /** Before a takeover is sent. This host makes no promise until the outcome is
   * known. */
  HolderLease TakeoverSent() const;
  /** After a takeover that did not take effect and no longer can. */
  HolderLease TakeoverFailed() const;
  /** After aHost, a host of the electorate, was asked for a promise at
   * aAskedAt, with the outcome aAnswer. */
  HolderLease Answered(const HostName& aHost,
                       PromiseAnswer aAnswer,
                       Instant aAskedAt) const;
  /** Promises aHolder not to take over; empty when this host must not promise
   * it. */
  std::optional<HolderLease> Promise(const HostName& aHolder,
                                     std::int64_t aTerm,
                                     Instant aNow) const;

  const std::optional<Ownership>& Row() const { return this->row; }
  std::int64_t Revision() const { return this->revision; }
  /** True while this process is the holder in the last row that it read or
   * wrote. It may command workers only while MayCommand() is true. */
  bool IsHolder() const { return this->renewalSentAt.has_value(); }

  /** True when a command that takes up to aCommandTimeout, sent now, ends
   * before another host can hold the racks. */
  bool MayCommand(Instant aNow, Milliseconds aCommandTimeout) const;
  /** True when this host may write itself into the row, with the next term.
   * aHosts are the data centre's entry hosts in the settings in force. */
  bool MayTakeOver(const std::vector<HostName>& aHosts, Instant aNow) const;
  /** Other hosts of the electorate; the holder needs the promises of all of
   * them when renewals fail. */
  std::vector<HostName> Electors() const;

  auto operator<=>(const HolderLease&) const = default;

private:
  bool IsCandidate(const std::vector<HostName>& aHosts) const;
  Instant PromisedEnd() const;

  HostName self;
  Instant startedAt;
  Milliseconds margin{ 0 };

  std::optional<Ownership> row;
  std::int64_t revision = 0;
  Instant unchangedSince;
  /** Expected revision of a takeover whose outcome is not known yet. */
  std::optional<std::int64_t> pendingTakeover;
  /** End of this host's promise not to take over. */
  Instant promisedUntil;

  /** Set while this process is the holder: an instant before its last renewal
   * was sent. */
  std::optional<Instant> renewalSentAt;
  /** Instant until which each host of the electorate will not take over. */
  std::map<HostName, Instant> promises;
};

}
