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
DomainLease::StoreClockRead(StoreClock aClock) const
{
  DomainLease next = *this;
  next.clock = aClock;
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

std::optional<Instant>
DomainLease::OwnerGoneSince(Instant aNow) const
{
  if (!this->row || this->row->Host() != this->self) {
    return std::nullopt;
  }
  // An earlier process of this host exited before this one started. This one
  // has ended its own term before it takes over again.
  return this->row->Process() == this->process ? aNow : this->termSince;
}

bool
DomainLease::HasRenewalTimes() const
{
  return this->clock && this->row && this->row->RenewsUntilMs() > 0 &&
         this->row->OthersUntilMs() > 0;
}

Instant
DomainLease::RenewedUntil(Instant aTakeover) const
{
  // A holder stops renewing before it releases the domain. One whose lease has
  // expired goes on for its grace time, and it may have preceded a holder that
  // released the domain soon after its own takeover.
  const bool isReleased = this->row && this->row->IsReleased();
  const Instant bound =
    isReleased
      ? std::max(aTakeover, this->termSince + DomainTiming::kRenewalGrace)
      : aTakeover + DomainTiming::kRenewalGrace;
  if (!this->HasRenewalTimes()) {
    return bound;
  }
  const Instant own =
    std::min(this->clock->ReachedBy(this->row->RenewsUntilMs()),
             this->OwnerGoneSince(aTakeover).value_or(Instant::max()));
  const Instant others = this->clock->ReachedBy(this->row->OthersUntilMs());
  return std::min(bound, std::max(own, others));
}

std::int64_t
DomainLease::OthersUntilMs(Instant aNow) const
{
  if (!this->clock) {
    return 0;
  }
  // No process has the domain exclusively when another one may take it over.
  const std::int64_t bound =
    this->clock->LatestAt(aNow + DomainTiming::kRenewalGrace);
  if (!this->HasRenewalTimes()) {
    return bound;
  }
  const std::optional<Instant> goneSince = this->OwnerGoneSince(aNow);
  const std::int64_t own =
    goneSince
      ? std::min(this->row->RenewsUntilMs(), this->clock->LatestAt(*goneSince))
      : this->row->RenewsUntilMs();
  return std::min(bound, std::max(own, this->row->OthersUntilMs()));
}

std::optional<DomainOwner>
DomainLease::TakeoverRow(Instant aNow, std::int64_t aLastTerm) const
{
  const std::int64_t term =
    std::max(this->row ? this->row->Term() : 0, aLastTerm);
  // A holder of a build without bounds writes the row without this term.
  const std::int64_t kept = this->row ? this->row->BoundsKeptSince() : 0;
  Reason ignored; // Fails only for an empty host name, which self never is.
  return this->MakeOwner(aNow + this->length + DomainTiming::kRenewalGrace)
    .Term(term + 1)
    .BoundsKeptSince(kept > 0 ? kept : term + 1)
    .OthersUntilMs(this->OthersUntilMs(aNow))
    .Build(ignored);
}

std::optional<DomainOwner>
DomainLease::RenewalRow(bool aIsRelease, Instant aNow) const
{
  if (!this->row) {
    return std::nullopt;
  }
  Reason ignored; // As above.
  return this
    ->MakeOwner(aIsRelease ? aNow
                           : aNow + this->length + DomainTiming::kRenewalGrace)
    .Term(this->row->Term())
    .Renewal(this->row->Renewal() + 1)
    .IsReleased(aIsRelease)
    .BoundsKeptSince(this->row->BoundsKeptSince())
    .OthersUntilMs(this->row->OthersUntilMs())
    .Build(ignored);
}

DomainOwnerBuilder
DomainLease::MakeOwner(Instant aRenewsUntil) const
{
  return DomainOwnerBuilder()
    .Host(this->self)
    .Process(this->process)
    .RenewsUntilMs(this->clock ? this->clock->LatestAt(aRenewsUntil) : 0);
}

}
