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
 * What one host knows of who holds its data centre's racks, and so what it may
 * do. It is a value: what happens makes a new one. All instants are on this
 * host's monotonic clock.
 */
class HolderLease
{
public:
  /** aMargin is what this host waits beyond a lease, for drift of the clocks.
   */
  HolderLease(HostName aSelf, Instant aStarted, Milliseconds aMargin);

  /** The row was read; empty when there is none yet. */
  HolderLease RowRead(std::optional<Ownership> aRow,
                      std::int64_t aRevision,
                      Instant aNow) const;
  /** This host's write of the row took effect; aSent is from before it was
   * sent. */
  HolderLease Written(Ownership aRow,
                      std::int64_t aRevision,
                      Instant aSent) const;
  /** A takeover is about to be sent. Until its outcome is known this host makes
   * no promise. */
  HolderLease TakeoverSent() const;
  /** The takeover certainly did not take effect, and never will. */
  HolderLease TakeoverFailed() const;
  /** A host of the electorate was asked for a promise at aAsked. */
  HolderLease Answered(const HostName& aHost,
                       PromiseAnswer aAnswer,
                       Instant aAsked) const;
  /** Promises aHolder not to take over; empty when this host cannot. */
  std::optional<HolderLease> Promise(const HostName& aHolder,
                                     std::int64_t aTerm,
                                     Instant aNow) const;

  const std::optional<Ownership>& Row() const { return this->row; }
  std::int64_t Revision() const { return this->revision; }
  /** True while this process is the holder that the row names, as far as it
   * knows; it may command workers only while MayCommand() says so. */
  bool Holds() const { return this->sent.has_value(); }

  /** True when a command of that length, sent now, ends before anyone else can
   * hold the racks. */
  bool MayCommand(Instant aNow, Milliseconds aCommandTimeout) const;
  /** True when this host may write itself into the row, at the next term.
   * aHosts are the data centre's entry hosts in the settings in force. */
  bool MayTakeOver(const std::vector<HostName>& aHosts, Instant aNow) const;
  /** Hosts whose promises are needed when renewals fail. */
  std::vector<HostName> Electors() const;

  auto operator<=>(const HolderLease&) const = default;

private:
  bool IsCandidate(const std::vector<HostName>& aHosts) const;
  Instant PromisedEnd() const;

  HostName self;
  Instant started;
  Milliseconds margin{ 0 };

  std::optional<Ownership> row;
  std::int64_t revision = 0;
  Instant unchangedSince;
  /** Revision that a takeover of unknown outcome was checked against. */
  std::optional<std::int64_t> pendingTakeover;
  /** Until when this host promised not to take over. */
  Instant promisedUntil;

  /** Set while this process holds: from before its last renewal was sent. */
  std::optional<Instant> sent;
  /** Until when each host of the electorate does not take over. */
  std::map<HostName, Instant> promises;
};

}
