#include "zones/domain_lease.h"

#include "contracts/domain_owner_builder.h"
#include "contracts/domain_timing.h"
#include "core/reason.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

/** Added to the lease before a takeover to allow for drift between the hosts'
 * clocks. */
constexpr Milliseconds kClockMargin{ 100 };
/** Time for the holder to renew after an outage of the store. It retries its
 * renewal every 100 ms, and a slow store answers within 240 ms. */
constexpr Milliseconds kRegainGrace{ 600 };

}

DomainLease::DomainLease(HostName aSelf,
                         std::string aProcess,
                         Milliseconds aLength)
  : self(std::move(aSelf))
  , process(std::move(aProcess))
  , length(aLength)
{
}

DomainLease
DomainLease::RowObserved(std::optional<DomainOwner> aRow,
                         std::int64_t aRevision,
                         Instant aNow) const
{
  DomainLease next = *this;
  if (!this->isObserved || aRevision != this->revision ||
      aRow.has_value() != this->row.has_value()) {
    next.unchangedSince = aNow;
  }
  const bool isSameTerm =
    aRow && this->row && aRow->Term() == this->row->Term();
  if (!isSameTerm) {
    next.termSince = aNow;
  }
  next.isObserved = true;
  next.row = std::move(aRow);
  next.revision = aRevision;
  return next;
}

DomainLease
DomainLease::RowWritten(DomainOwner aRow,
                        std::int64_t aRevision,
                        Instant aSent) const
{
  DomainLease next = *this;
  next.row = std::move(aRow);
  next.revision = aRevision;
  next.unchangedSince = aSent;
  next.sent = aSent;
  return next;
}

DomainLease
DomainLease::StoreRegained(Instant aNow) const
{
  DomainLease next = *this;
  next.unchangedSince =
    std::max(this->unchangedSince, aNow - this->length + kRegainGrace);
  return next;
}

bool
DomainLease::IsSameHolder(const DomainOwner& aRow) const
{
  return this->row && !aRow.IsReleased() && aRow.Process() == this->process &&
         aRow.Term() == this->row->Term();
}

Instant
DomainLease::TakeoverTime() const
{
  // A row that names this host was written by an earlier process, which has
  // exited.
  const bool isFree =
    !this->row || this->row->IsReleased() || this->row->Host() == this->self;
  return isFree ? this->unchangedSince
                : this->unchangedSince + this->length + kClockMargin;
}

Instant
DomainLease::RenewedUntil(Instant aTakeover) const
{
  // A holder stops renewing before it releases the domain. One whose lease has
  // expired goes on for its grace time, and it may have preceded a holder that
  // released the domain soon after its own takeover.
  const bool isReleased = this->row && this->row->IsReleased();
  return isReleased
           ? std::max(aTakeover, this->termSince + DomainTiming::kRenewalGrace)
           : aTakeover + DomainTiming::kRenewalGrace;
}

std::optional<DomainOwner>
DomainLease::TakeoverRow(std::int64_t aLastTerm) const
{
  const std::int64_t term =
    std::max(this->row ? this->row->Term() : 0, aLastTerm);
  // A holder of a build without bounds writes the row without this term.
  const std::int64_t kept = this->row ? this->row->BoundsKeptSince() : 0;
  return this->MakeOwner(term + 1, 0, false, kept > 0 ? kept : term + 1);
}

std::optional<DomainOwner>
DomainLease::RenewalRow(bool aIsRelease) const
{
  if (!this->row) {
    return std::nullopt;
  }
  return this->MakeOwner(this->row->Term(),
                         this->row->Renewal() + 1,
                         aIsRelease,
                         this->row->BoundsKeptSince());
}

std::optional<DomainOwner>
DomainLease::MakeOwner(std::int64_t aTerm,
                       std::int64_t aRenewal,
                       bool aIsReleased,
                       std::int64_t aBoundsKeptSince) const
{
  Reason ignored; // Fails only for an empty host name, which self never is.
  return DomainOwnerBuilder()
    .Host(this->self)
    .Process(this->process)
    .Term(aTerm)
    .Renewal(aRenewal)
    .IsReleased(aIsReleased)
    .BoundsKeptSince(aBoundsKeptSince)
    .Build(ignored);
}

}
