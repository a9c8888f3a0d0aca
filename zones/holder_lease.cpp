#include "zones/holder_lease.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

namespace {

bool
Contains(const std::vector<HostName>& aHosts, const HostName& aHost)
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

}

HolderLease::HolderLease(HostName aSelf,
                         Instant aStartedAt,
                         Milliseconds aMargin)
  : self(std::move(aSelf))
  , startedAt(aStartedAt)
  , margin(aMargin)
  , unchangedSince(aStartedAt)
  , promisedUntil(aStartedAt)
{
}

HolderLease
HolderLease::RowRead(std::optional<Ownership> aRow,
                     std::int64_t aRevision,
                     Instant aNow) const
{
  // Ignores a read that is older than a write that already took effect.
  if (aRevision < this->revision) {
    return *this;
  }
  HolderLease next = *this;
  if (aRevision != this->revision) {
    next.unchangedSince = aNow;
    next.pendingTakeover.reset();
  }
  const bool isOwnTerm = this->row && aRow && aRow->Host() == this->self &&
                         aRow->Term() == this->row->Term();
  if (!isOwnTerm) {
    next.renewalSentAt.reset();
    next.promises.clear();
  }
  next.row = std::move(aRow);
  next.revision = aRevision;
  return next;
}

HolderLease
HolderLease::RowWritten(Ownership aRow,
                        std::int64_t aRevision,
                        Instant aSentAt) const
{
  HolderLease next = *this;
  if (!this->row || this->row->Term() != aRow.Term()) {
    next.promises.clear();
  }
  next.row = std::move(aRow);
  next.revision = aRevision;
  next.unchangedSince = aSentAt;
  next.pendingTakeover.reset();
  next.renewalSentAt = aSentAt;
  return next;
}

HolderLease
HolderLease::TakeoverSent() const
{
  HolderLease next = *this;
  next.pendingTakeover = this->revision;
  return next;
}

HolderLease
HolderLease::TakeoverFailed() const
{
  HolderLease next = *this;
  next.pendingTakeover.reset();
  return next;
}

HolderLease
HolderLease::Answered(const HostName& aHost,
                      PromiseAnswer aAnswer,
                      Instant aAskedAt) const
{
  HolderLease next = *this;
  if (!this->row) {
    return next;
  }
  // A host whose process was not running when it was asked watches the row for
  // a whole lease from its start, which is equivalent to a promise. A takeover
  // that it sent before can still take effect, but makes no process the holder,
  // because its sender has exited.
  if (aAnswer == PromiseAnswer::kPromised ||
      aAnswer == PromiseAnswer::kRefusedConnection) {
    next.promises[aHost] = aAskedAt + this->row->Lease();
  }
  return next;
}

std::optional<HolderLease>
HolderLease::Promise(const HostName& aHolder,
                     std::int64_t aTerm,
                     Instant aNow) const
{
  // A promise to this holder is void if its term is outdated or a takeover by
  // this host may still take effect.
  const bool isOther = this->IsHolder() && aHolder != this->self;
  if (!this->row || this->row->Host() != aHolder ||
      this->row->Term() != aTerm || isOther || this->pendingTakeover) {
    return std::nullopt;
  }
  HolderLease next = *this;
  const Instant until = aNow + this->row->Lease() + this->margin;
  next.promisedUntil = std::max(this->promisedUntil, until);
  return next;
}

bool
HolderLease::MayCommand(Instant aNow, Milliseconds aCommandTimeout) const
{
  if (!this->IsHolder() || !this->row) {
    return false;
  }
  const Instant end = aNow + aCommandTimeout;
  return *this->renewalSentAt + this->row->Lease() >= end ||
         this->PromisedEnd() >= end;
}

bool
HolderLease::MayTakeOver(const std::vector<HostName>& aHosts,
                         Instant aNow) const
{
  if (this->IsHolder() || this->pendingTakeover ||
      !Contains(aHosts, this->self)) {
    return false;
  }
  if (!this->row) {
    return this->revision == 0;
  }
  const Instant watchedSince = std::max(this->unchangedSince, this->startedAt);
  return this->IsCandidate(aHosts) && aNow > this->promisedUntil &&
         aNow - watchedSince > this->row->Lease() + this->margin;
}

std::vector<HostName>
HolderLease::Electors() const
{
  std::vector<HostName> others;
  if (!this->row) {
    return others;
  }
  for (const HostName& host : this->row->Electorate()) {
    if (host != this->self) {
      others.push_back(host);
    }
  }
  return others;
}

bool
HolderLease::IsCandidate(const std::vector<HostName>& aHosts) const
{
  const std::vector<HostName>& electorate = this->row->Electorate();
  if (Contains(electorate, this->self)) {
    return true;
  }
  // When every host of the electorate was replaced, another host must be able
  // to take over.
  return std::none_of(
    electorate.begin(), electorate.end(), [&aHosts](const HostName& aHost) {
      return Contains(aHosts, aHost);
    });
}

Instant
HolderLease::PromisedEnd() const
{
  Instant end = Instant::max();
  for (const HostName& host : this->Electors()) {
    const auto found = this->promises.find(host);
    if (found == this->promises.end()) {
      return Instant::min();
    }
    end = std::min(end, found->second);
  }
  return end;
}

}
