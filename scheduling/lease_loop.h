#pragma once

#include "codecs/domain_owner_json.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/pause.h"
#include "scheduling/row_feed.h"
#include "scheduling/store_rows.h"
#include "zones/domain_lease.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/**
 * Watches the row that names the holder of the scheduling domain, takes the
 * domain over when its holder has let the lease lapse, and renews it while this
 * process holds it.
 */
template<RowStore Store>
class LeaseLoop
{
public:
  /** What happens to the domain in this process. */
  struct Listener
  {
    /** This process holds the domain; the revision is that of the term's row.
     */
    std::function<void(std::int64_t aTerm, std::int64_t aTermRevision)> gained;
    std::function<void()> lost;
  };

  LeaseLoop(boost::asio::io_context& aContext,
            Store& aStore,
            HostName aSelf,
            std::string aProcess,
            Milliseconds aLength,
            double aShareOfCore,
            Listener aListener)
    : context(&aContext)
    , store(&aStore)
    , length(aLength)
    , lease(aSelf, std::move(aProcess), aLength)
    , feed(aStore, kDomainTable, kOwnerRow, AfterKey(kOwnerRow))
    , listener(std::move(aListener))
  {
    // Hosts do not all try at the same instant, and the strongest tries first:
    // the holder's work grows with the domain.
    const double weakness = 1.0 - std::clamp(aShareOfCore, 0.0, 1.0);
    this->spread = Milliseconds(
      static_cast<std::int64_t>(weakness * kWeaknessSpread.count()) +
      static_cast<std::int64_t>(std::hash<std::string>()(aSelf.Text()) %
                                kSpread.count()));
  }

  boost::asio::awaitable<void> Run()
  {
    while (!this->isStopping) {
      if (this->isHolding) {
        co_await this->Renew();
      } else {
        co_await this->Watch();
      }
    }
  }

  /** Until when this process may act as the holder. */
  Instant ExclusiveUntil() const { return this->lease.ExclusiveUntil(); }
  bool Holds() const { return this->isHolding; }

  /** A worker has seen a higher term: some other process holds the domain. */
  void Deposed()
  {
    if (this->isHolding) {
      this->Lose("fenced");
    }
  }

  /** Gives the domain up, so that another host takes it at once. */
  boost::asio::awaitable<void> Release()
  {
    this->isStopping = true;
    if (!this->isHolding) {
      co_return;
    }
    this->Lose("released");
    for (int attempt = 0; attempt < kReleaseAttempts; ++attempt) {
      const std::optional<DomainOwner> row = this->lease.RenewalRow(true);
      const std::int64_t revision = this->lease.Revision();
      Reason reason;
      const CommitAnswer answer =
        co_await this->Write(*row, revision, {}, reason);
      if (answer.Outcome() == WriteOutcome::kCommitted) {
        EventLine("domain_released").Field("term", row->Term()).Emit();
        co_return;
      }
      // A renewal that was on its way may have changed the row.
      const TableRow* current = this->OwnerRow(answer.Current());
      const auto owner = current == nullptr
                           ? std::nullopt
                           : DecodeDomainOwner(current->Value(), reason);
      if (!owner || !this->lease.IsSameHolder(*owner)) {
        EventLine("domain_release_failed").Field(reason).Emit();
        co_return;
      }
      this->lease =
        this->lease.RowObserved(owner, current->Revision(), Clock::now());
    }
  }

private:
  /** Renewals come this often within a lease, so that one may be lost. */
  static constexpr int kRenewalsPerLease = 4;
  static constexpr Milliseconds kRetryPause{ 100 };
  static constexpr int kReleaseAttempts = 3;
  static constexpr Milliseconds kLongestWait{ 1000 };
  /** Candidates spread their takeovers over this time. */
  static constexpr Milliseconds kSpread{ 40 };
  /** Time by which a host with next to no processor waits longer than one with
   * a whole core; some steps of the spread between the shares in use. */
  static constexpr Milliseconds kWeaknessSpread{ 400 };

  boost::asio::awaitable<CommitAnswer> Write(DomainOwner aRow,
                                             std::int64_t aRevision,
                                             std::vector<TableWrite> aMore,
                                             Reason& aReason)
  {
    std::vector<TableCheck> checks;
    AddCheck(checks, kDomainTable, kOwnerRow, aRevision);
    AddWrite(aMore, kDomainTable, kOwnerRow, EncodeDomainOwner(aRow));
    const TableTransaction transaction =
      MakeTransaction(std::move(checks), std::move(aMore));
    CommitAnswer answer = co_await this->store->Commit(transaction, aReason);
    co_return answer;
  }

  boost::asio::awaitable<void> Renew()
  {
    Reason reason;
    const Instant sent = Clock::now();
    const std::optional<DomainOwner> row = this->lease.RenewalRow(false);
    const std::int64_t revision = this->lease.Revision();
    const CommitAnswer answer =
      co_await this->Write(*row, revision, {}, reason);
    if (!this->isHolding) {
      co_return; // Lost while the renewal was on its way.
    }
    if (answer.Outcome() == WriteOutcome::kCommitted) {
      this->lease = this->lease.Written(*row, answer.Revision(), sent);
      co_await Pause(*this->context, this->length / kRenewalsPerLease);
      co_return;
    }
    if (answer.Outcome() == WriteOutcome::kConflict) {
      this->SettleConflict(answer);
      co_return;
    }
    EventLine("domain_renewal_failed")
      .Field("term", row->Term())
      .Field("undisputed_ms", this->LeftMs())
      .Field(reason)
      .Emit();
    co_await Pause(*this->context, kRetryPause);
  }

  /** An earlier renewal whose answer was lost may have taken effect. */
  void SettleConflict(const CommitAnswer& aAnswer)
  {
    const TableRow* current = this->OwnerRow(aAnswer.Current());
    Reason reason;
    const auto owner = current == nullptr
                         ? std::nullopt
                         : DecodeDomainOwner(current->Value(), reason);
    const Instant now = Clock::now();
    if (owner && this->lease.IsSameHolder(*owner)) {
      // When it was written is not known; the next renewal extends the lease.
      this->lease = this->lease.RowObserved(owner, current->Revision(), now);
      return;
    }
    this->lease = this->lease.RowObserved(
      owner, current == nullptr ? 0 : current->Revision(), now);
    this->Lose("taken over");
  }

  const TableRow* OwnerRow(const std::vector<TableRow>& aRows) const
  {
    const auto found =
      std::find_if(aRows.begin(), aRows.end(), [](const TableRow& aRow) {
        return aRow.Key() == kOwnerRow && aRow.Revision() > 0;
      });
    return found == aRows.end() ? nullptr : &*found;
  }

  boost::asio::awaitable<void> Watch()
  {
    Reason reason;
    const std::optional<RowPage> page =
      co_await this->feed.Next(this->TimeToWait(), reason);
    if (!page) {
      this->feed.Restart();
      this->isStoreLost = true;
      co_await Pause(*this->context, kRetryPause);
      co_return;
    }
    if (std::exchange(this->isStoreLost, false)) {
      this->lease = this->lease.StoreRegained(Clock::now());
    }
    if (page->IsHistoryLost()) {
      co_return;
    }
    const TableRow* row = this->OwnerRow(page->Rows());
    if (row != nullptr) {
      this->lease = this->lease.RowObserved(
        DecodeDomainOwner(row->Value(), reason), row->Revision(), Clock::now());
    } else if (this->feed.IsWhole()) {
      this->lease = this->lease.RowObserved(std::nullopt, 0, Clock::now());
    }
    if (!this->isStopping && Clock::now() >= this->TakeoverTime()) {
      co_await this->TakeOver();
    }
  }

  Instant TakeoverTime() const
  {
    return this->lease.TakeoverTime() + this->spread;
  }

  /** Until the domain may be taken over, so that a turn comes then. */
  Milliseconds TimeToWait() const
  {
    const auto left = std::chrono::duration_cast<Milliseconds>(
      this->TakeoverTime() - Clock::now());
    return std::clamp(left, Milliseconds(1), Milliseconds(kLongestWait));
  }

  boost::asio::awaitable<void> TakeOver()
  {
    const std::optional<DomainOwner> row = this->lease.TakeoverRow();
    if (!row) {
      co_return;
    }
    const std::string previous =
      this->lease.Row() ? this->lease.Row()->Host().Text() : "";
    std::vector<TableWrite> term;
    AddWrite(term, kDomainTable, kTermRow, std::to_string(row->Term()));
    Reason reason;
    const Instant sent = Clock::now();
    const std::int64_t revision =
      std::max<std::int64_t>(this->lease.Revision(), 0);
    const CommitAnswer answer =
      co_await this->Write(*row, revision, std::move(term), reason);
    const bool isCommitted = answer.Outcome() == WriteOutcome::kCommitted;
    EventLine("domain_takeover")
      .Field("term", row->Term())
      .Field("previous_holder", previous)
      .Field("committed", isCommitted ? 1 : 0)
      .Field(reason)
      .Emit();
    if (isCommitted) {
      this->lease = this->lease.Written(*row, answer.Revision(), sent);
      this->isHolding = true;
      this->listener.gained(row->Term(), answer.Revision());
      co_return;
    }
    // Another process was first, or the outcome is not known. If the row turns
    // out to name this process, the next term is taken.
    this->feed.Restart();
    co_await Pause(*this->context, kRetryPause);
  }

  void Lose(const char* aWhy)
  {
    EventLine("domain_lost")
      .Field("cause", aWhy)
      .Field("undisputed_ms", this->LeftMs())
      .Emit();
    this->feed.Restart();
    this->isHolding = false;
    this->listener.lost();
  }

  std::int64_t LeftMs() const
  {
    return std::chrono::duration_cast<Milliseconds>(
             this->lease.ExclusiveUntil() - Clock::now())
      .count();
  }

  boost::asio::io_context* context;
  Store* store;
  Milliseconds length;
  Milliseconds spread{ 0 };
  DomainLease lease;
  RowFeed<Store> feed;
  Listener listener;
  bool isHolding = false;
  bool isStoreLost = false;
  bool isStopping = false;
};

}
