#pragma once

#include "codecs/domain_owner_json.h"
#include "contracts/domain_gain.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/pause.h"
#include "scheduling/row_feed.h"
#include "scheduling/store_rows.h"
#include "zones/domain_lease.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/**
 * Watches the row that names the holder of the scheduling domain, takes the
 * domain over once the holder's lease has expired, and renews the lease while
 * this process is the holder. All calls but ExclusiveUntil() are made on the
 * thread of aContext.
 */
template<RowStore Store>
class LeaseLoop
{
public:
  /** Callbacks for the gain and the loss of the domain by this process, on the
   * loop's thread. */
  struct Listener
  {
    /** Called after a takeover, once the term is stored. */
    std::function<void(const DomainGain& aGain)> gained;
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
    , feed(aStore, kLeaseTable, kOwnerRow, AfterKey(kOwnerRow))
    , listener(std::move(aListener))
    , takeoverEnd(aContext, boost::asio::steady_timer::time_point::max())
  {
    // The delay keeps hosts from trying at the same instant and lets those
    // with a large share of a core try first, since the holder's work grows
    // with the domain.
    const double missingShare =
      std::clamp(1.0 - aShareOfCore / kFullShare, 0.0, 1.0);
    this->takeoverDelay = Milliseconds(
      static_cast<std::int64_t>(missingShare * kMaxShareDelay.count()) +
      static_cast<std::int64_t>(std::hash<std::string>()(aSelf.Text()) %
                                kMaxHostDelay.count()));
    this->watchPause =
      aShareOfCore < kSmallShare ? aLength / 2 : Milliseconds(0);
  }

  /** Watches and renews until Release() is called. */
  boost::asio::awaitable<void> Run()
  {
    while (!this->isStopping) {
      if (this->isHolder) {
        co_await this->Renew();
      } else {
        co_await this->Watch();
      }
    }
  }

  /** Time until which no other process may take over, the past when this
   * process is not the holder; for any thread. */
  Instant ExclusiveUntil() const
  {
    return this->exclusiveUntil.load(std::memory_order_acquire);
  }

  /** Gives up the domain after a worker or the store showed a higher term than
   * aTerm, which means that another process is the holder. Ignored when aTerm
   * is not the current term any more. */
  void Deposed(std::int64_t aTerm)
  {
    if (this->isHolder && this->lease.Row()->Term() == aTerm) {
      this->Lose("fenced");
    }
  }

  /** Stops the loop and releases the lease in the store, so that another host
   * can take over at once. A takeover in flight is awaited first. Attempts that
   * fail are repeated for kReleaseTime; a failure is logged. */
  boost::asio::awaitable<void> Release()
  {
    const Instant until = Clock::now() + kReleaseTime;
    this->isStopping = true;
    if (this->isTakingOver) {
      boost::system::error_code ignored;
      co_await this->takeoverEnd.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    if (!this->isHolder) {
      co_return;
    }
    this->Lose("released");
    bool isSettled = co_await this->WriteRelease();
    while (!isSettled && Clock::now() + kRetryPause < until) {
      co_await Pause(*this->context, kRetryPause);
      isSettled = co_await this->WriteRelease();
    }
  }

private:
  void SetLease(DomainLease aLease)
  {
    this->lease = std::move(aLease);
    this->PublishExclusivity();
  }

  /** Takes the store's time from an answer to a call that was sent at aSent. */
  void NoteStoreTime(std::optional<std::int64_t> aStoreMs, Instant aSent)
  {
    if (aStoreMs) {
      this->lease =
        this->lease.StoreClockRead(StoreClock(*aStoreMs, aSent, Clock::now()));
    }
  }

  /** The holder's thread learns of a loss by a callback that it may run later,
   * so the time is withdrawn at once. */
  void PublishExclusivity()
  {
    this->exclusiveUntil.store(this->isHolder ? this->lease.ExclusiveUntil()
                                              : Instant(),
                               std::memory_order_release);
  }

  /** Renewals per length of the lease; more than one, so that the lease
   * survives a lost renewal. */
  static constexpr int kRenewalsPerLease = 4;
  static constexpr Milliseconds kRetryPause{ 100 };
  /** Time in which a release that fails is repeated. */
  static constexpr Milliseconds kReleaseTime{ 1000 };
  static constexpr Milliseconds kMaxWait{ 1000 };
  /** Upper bound of the takeover delay that is derived from the host's name. */
  static constexpr Milliseconds kMaxHostDelay{ 40 };
  /** Share of a core from which a host takes over without an extra delay. */
  static constexpr double kFullShare = 0.5;
  /** Extra takeover delay of a host with almost no share of a core. The shares
   * in use differ by several times kMaxHostDelay. */
  static constexpr Milliseconds kMaxShareDelay{ 800 };
  /** Hosts with a smaller share of a core take over only when no larger one
   * does, so they need not be told of each renewal at once. */
  static constexpr double kSmallShare = 0.25;

  boost::asio::awaitable<CommitAnswer> Write(DomainOwner aRow,
                                             std::int64_t aRevision,
                                             Reason& aReason)
  {
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kLeaseTable, kOwnerRow, aRevision);
    AddWrite(writes, kLeaseTable, kOwnerRow, EncodeDomainOwner(aRow));
    const TableTransaction transaction =
      MakeTransaction(std::move(checks), std::move(writes));
    const Instant sent = Clock::now();
    CommitAnswer answer = co_await this->store->Commit(transaction, aReason);
    this->NoteStoreTime(answer.StoreTimeMs(), sent);
    co_return answer;
  }

  /** Writes the released row; true when no further attempt is needed. */
  boost::asio::awaitable<bool> WriteRelease()
  {
    const std::optional<DomainOwner> row =
      this->lease.RenewalRow(true, Clock::now());
    const std::int64_t revision = this->lease.Revision();
    Reason reason;
    const CommitAnswer answer = co_await this->Write(*row, revision, reason);
    if (answer.Outcome() == WriteOutcome::kCommitted) {
      EventLine("domain_released").Field("term", row->Term()).Emit();
      co_return true;
    }
    if (answer.Outcome() != WriteOutcome::kConflict) {
      EventLine("domain_release_failed")
        .Field("term", row->Term())
        .Field(reason)
        .Emit();
      co_return false;
    }
    const TableRow* current = this->OwnerRow(answer.Current());
    const auto owner = current == nullptr
                         ? std::nullopt
                         : DecodeDomainOwner(current->Value(), reason);
    // A renewal or a takeover in flight may have changed the row.
    if (owner && this->lease.IsSameHolder(*owner)) {
      this->SetLease(
        this->lease.RowObserved(owner, current->Revision(), Clock::now()));
      co_return false;
    }
    // The row names another process, or an attempt whose answer was lost has
    // released it.
    EventLine("domain_not_held").Field("term", row->Term()).Emit();
    co_return true;
  }

  boost::asio::awaitable<void> Renew()
  {
    Reason reason;
    const Instant sent = Clock::now();
    const std::optional<DomainOwner> row = this->lease.RenewalRow(false, sent);
    const std::int64_t revision = this->lease.Revision();
    const CommitAnswer answer = co_await this->Write(*row, revision, reason);
    if (!this->isHolder) {
      co_return; // Lost while the renewal was in flight.
    }
    if (answer.Outcome() == WriteOutcome::kCommitted) {
      this->SetLease(this->lease.RowWritten(*row, answer.Revision(), sent));
      co_await Pause(*this->context, this->length / kRenewalsPerLease);
      co_return;
    }
    if (answer.Outcome() == WriteOutcome::kConflict) {
      this->ResolveConflict(answer);
      co_return;
    }
    EventLine("domain_renewal_failed")
      .Field("term", row->Term())
      .Field("undisputed_ms", this->RemainingMs())
      .Field(reason)
      .Emit();
    co_await Pause(*this->context, kRetryPause);
  }

  /** Finds out who holds the domain after a conflict. An earlier renewal of
   * this process whose answer was lost may have taken effect. */
  void ResolveConflict(const CommitAnswer& aAnswer)
  {
    const TableRow* current = this->OwnerRow(aAnswer.Current());
    Reason reason;
    const auto owner = current == nullptr
                         ? std::nullopt
                         : DecodeDomainOwner(current->Value(), reason);
    const Instant now = Clock::now();
    if (owner && this->lease.IsSameHolder(*owner)) {
      // The time of that write is not known, so it does not extend the lease;
      // the next renewal does.
      this->SetLease(this->lease.RowObserved(owner, current->Revision(), now));
      return;
    }
    this->SetLease(this->lease.RowObserved(
      owner, current == nullptr ? 0 : current->Revision(), now));
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
    const Instant sent = Clock::now();
    const std::optional<RowPage> page =
      co_await this->feed.Next(this->WaitTime(), reason);
    if (page) {
      this->NoteStoreTime(page->StoreTimeMs(), sent);
    }
    if (!page) {
      this->feed.Restart();
      this->isStoreLost = true;
      co_await Pause(*this->context, kRetryPause);
      co_return;
    }
    if (std::exchange(this->isStoreLost, false)) {
      this->SetLease(this->lease.StoreRegained(Clock::now()));
    }
    if (page->IsHistoryLost()) {
      co_return;
    }
    const TableRow* row = this->OwnerRow(page->Rows());
    if (row != nullptr) {
      this->SetLease(
        this->lease.RowObserved(DecodeDomainOwner(row->Value(), reason),
                                row->Revision(),
                                Clock::now()));
    } else if (this->feed.IsFullRange()) {
      this->SetLease(this->lease.RowObserved(std::nullopt, 0, Clock::now()));
    }
    if (!this->isStopping && Clock::now() >= this->TakeoverTime()) {
      co_await this->TakeOver();
    } else if (row != nullptr && this->watchPause.count() > 0 &&
               Clock::now() + this->watchPause < this->TakeoverTime()) {
      co_await Pause(*this->context, this->watchPause);
    }
  }

  Instant TakeoverTime() const
  {
    return this->lease.TakeoverTime() + this->takeoverDelay;
  }

  /** Time until the takeover is allowed, bounded by kMaxWait; limits the wait
   * for a change of the row. */
  Milliseconds WaitTime() const
  {
    const auto remaining = std::chrono::duration_cast<Milliseconds>(
      this->TakeoverTime() - Clock::now());
    return std::clamp(remaining, Milliseconds(1), Milliseconds(kMaxWait));
  }

  /** Reads the row of the term; without one, the revision and the term are 0.
   * False, with the reason, when it cannot be read. */
  boost::asio::awaitable<bool> ReadTerm(std::int64_t& aTerm,
                                        std::int64_t& aRevision,
                                        Reason& aReason)
  {
    std::string table = kDomainTable;
    std::string from = kTermRow;
    std::string to = AfterKey(kTermRow);
    const std::optional<RowPage> page = co_await this->store->Read(
      std::move(table), std::move(from), std::move(to), aReason);
    if (!page) {
      co_return false;
    }
    aTerm = 0;
    aRevision = 0;
    if (!page->Rows().empty()) {
      const TableRow& row = page->Rows().front();
      std::from_chars(
        row.Value().data(), row.Value().data() + row.Value().size(), aTerm);
      aRevision = row.Revision();
    }
    co_return true;
  }

  /** Stores the term of a takeover, on which the holder's transactions depend,
   * and then reports the gain. From then on a former holder can store nothing.
   * Terms only rise: a write of an earlier term that arrives late finds another
   * revision. aRenewedUntil is passed on to the listener. */
  boost::asio::awaitable<void> StoreTerm(std::int64_t aTerm,
                                         Instant aRenewedUntil)
  {
    while (this->isHolder && this->lease.Row()->Term() == aTerm) {
      Reason reason;
      std::int64_t stored = 0;
      std::int64_t revision = 0;
      bool isStored = false;
      const bool isRead = co_await this->ReadTerm(stored, revision, reason);
      if (isRead && stored < aTerm) {
        std::vector<TableCheck> checks;
        std::vector<TableWrite> writes;
        AddCheck(checks, kDomainTable, kTermRow, revision);
        AddWrite(writes, kDomainTable, kTermRow, std::to_string(aTerm));
        const TableTransaction transaction =
          MakeTransaction(std::move(checks), std::move(writes));
        const CommitAnswer answer =
          co_await this->store->Commit(transaction, reason);
        isStored = answer.Outcome() == WriteOutcome::kCommitted;
        revision = answer.Revision();
      } else if (isRead) {
        // An earlier attempt took effect although its answer was lost.
        isStored = stored == aTerm;
      }
      const bool isCurrent =
        this->isHolder && this->lease.Row()->Term() == aTerm;
      if (isCurrent && isRead && stored > aTerm) {
        this->Lose("fenced");
        co_return;
      }
      if (isCurrent && isStored) {
        this->listener.gained(
          DomainGain{ aTerm,
                      revision,
                      aRenewedUntil,
                      this->lease.Row()->BoundsKeptSince() });
        co_return;
      }
      EventLine("domain_term_not_stored")
        .Field("term", aTerm)
        .Field(reason)
        .Emit();
      co_await Pause(*this->context, kRetryPause);
    }
  }

  boost::asio::awaitable<void> TakeOver()
  {
    this->isTakingOver = true;
    co_await this->WriteTakeover();
    this->isTakingOver = false;
    this->takeoverEnd.cancel();
  }

  boost::asio::awaitable<void> WriteTakeover()
  {
    Reason reason;
    std::int64_t lastTerm = 0;
    std::int64_t termRevision = 0;
    // Workers keep the highest term, so the next one must not be lower, also
    // when the row of the holder is lost.
    bool isTermKnown = this->lease.Row().has_value();
    if (!isTermKnown) {
      isTermKnown = co_await this->ReadTerm(lastTerm, termRevision, reason);
    }
    const std::optional<DomainOwner> row =
      isTermKnown ? this->lease.TakeoverRow(Clock::now(), lastTerm)
                  : std::nullopt;
    if (!row) {
      EventLine("domain_takeover_failed").Field(reason).Emit();
      co_await Pause(*this->context, kRetryPause);
      co_return;
    }
    const std::string previous =
      this->lease.Row() ? this->lease.Row()->Host().Text() : "";
    const DomainLease before = this->lease;
    const Instant sent = Clock::now();
    const std::int64_t revision =
      std::max<std::int64_t>(this->lease.Revision(), 0);
    const CommitAnswer answer = co_await this->Write(*row, revision, reason);
    const bool isCommitted = answer.Outcome() == WriteOutcome::kCommitted;
    const Instant now = Clock::now();
    const Instant renewedUntil = before.RenewedUntil(now);
    EventLine("domain_takeover")
      .Field("term", row->Term())
      .Field("previous_holder", previous)
      .Field(
        "renewals_end_in_ms",
        std::chrono::duration_cast<Milliseconds>(renewedUntil - now).count())
      .Field("committed", isCommitted ? 1 : 0)
      .Field(reason)
      .Emit();
    if (isCommitted) {
      this->isHolder = true;
      this->SetLease(this->lease.RowWritten(*row, answer.Revision(), sent));
      if (!this->isStopping) {
        boost::asio::co_spawn(*this->context,
                              this->StoreTerm(row->Term(), renewedUntil),
                              boost::asio::detached);
      }
      co_return;
    }
    if (this->isStopping && answer.Outcome() == WriteOutcome::kNotKnown) {
      // The row may name this process, or will do so, until Release() writes
      // it.
      this->isHolder = true;
      this->lease = this->lease.RowWritten(*row, revision, Instant());
      co_return;
    }
    // Another process was first, or the outcome is not known. If the row names
    // this process after all, the loop takes over again with the next term.
    this->feed.Restart();
    co_await Pause(*this->context, kRetryPause);
  }

  void Lose(const char* aCause)
  {
    EventLine("domain_lost")
      .Field("cause", aCause)
      .Field("undisputed_ms", this->RemainingMs())
      .Emit();
    this->feed.Restart();
    this->isHolder = false;
    this->PublishExclusivity();
    this->listener.lost();
  }

  std::int64_t RemainingMs() const
  {
    return std::chrono::duration_cast<Milliseconds>(
             this->lease.ExclusiveUntil() - Clock::now())
      .count();
  }

  boost::asio::io_context* context;
  Store* store;
  Milliseconds length;
  Milliseconds takeoverDelay{ 0 };
  /** Pause after each observed renewal, unless the domain may be taken over
   * before its end. */
  Milliseconds watchPause{ 0 };
  DomainLease lease;
  std::atomic<Instant> exclusiveUntil{ Instant() };
  RowFeed<Store> feed;
  Listener listener;
  /** Never expires; cancelled at the end of a takeover. */
  boost::asio::steady_timer takeoverEnd;
  bool isTakingOver = false;
  bool isHolder = false;
  bool isStoreLost = false;
  bool isStopping = false;
};

}
