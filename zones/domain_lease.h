#pragma once

#include "contracts/domain_owner.h"
#include "core/instant.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse {

/**
 * What one process knows of who holds the scheduling domain, and so what it may
 * do. It is a value: what happens makes a new one. All instants are on this
 * host's clock. Writes of the row are conditional on its revision, so at most
 * one process holds a term.
 */
class DomainLease
{
public:
  DomainLease(HostName aSelf, std::string aProcess, Milliseconds aLength);

  /** The row was read; empty when there is none. */
  DomainLease RowObserved(std::optional<DomainOwner> aRow,
                          std::int64_t aRevision,
                          Instant aNow) const;
  /** The store answers again after it did not; the holder, which may have been
   * cut off as well, gets a moment to renew before anyone takes over. */
  DomainLease StoreRegained(Instant aNow) const;
  /** This process's write took effect; aSent is from before it was sent. */
  DomainLease Written(DomainOwner aRow,
                      std::int64_t aRevision,
                      Instant aSent) const;

  const std::optional<DomainOwner>& Row() const { return this->row; }
  std::int64_t Revision() const { return this->revision; }
  /** Until when no other process may take over. */
  Instant ExclusiveUntil() const { return this->sent + this->length; }
  /** When this process may take over, unless the row changes before. */
  Instant TakeoverTime() const;

  /** The row that a takeover writes: the next term. */
  std::optional<DomainOwner> TakeoverRow() const;
  /** The row that a renewal writes, or the giving up of the domain. Only for
   * the holder. */
  std::optional<DomainOwner> RenewalRow(bool aIsRelease) const;
  /** Whether a row is this process's own, of the same term. */
  bool IsSameHolder(const DomainOwner& aRow) const;

  auto operator<=>(const DomainLease&) const = default;

private:
  std::optional<DomainOwner> MakeOwner(std::int64_t aTerm,
                                       std::int64_t aRenewal,
                                       bool aIsReleased) const;

  HostName self;
  std::string process;
  Milliseconds length;
  std::optional<DomainOwner> row;
  std::int64_t revision = 0;
  /** When the row was first seen as it is. */
  Instant unchangedSince{};
  /** Before the last write of this process was sent. */
  Instant sent{};
};

}
