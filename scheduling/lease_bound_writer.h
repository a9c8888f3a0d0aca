#pragma once

#include "codecs/lease_bounds_json.h"
#include "contracts/row_page.h"
#include "contracts/store_clock.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <utility>

namespace sardinecourse {

/** Reads and stores the bounds of the leases on workers that the holder cannot
 * reach, so that the wait for such a worker does not begin anew with the next
 * holder. */
template<typename Term>
class LeaseBoundWriter
{
public:
  explicit LeaseBoundWriter(Term& aTerm)
    : term(&aTerm)
  {
  }

  /** Adopts the bounds that earlier holders stored; false, with the reason,
   * when they cannot be read. */
  boost::asio::awaitable<bool> Load(Reason& aReason)
  {
    const Instant sent = Clock::now();
    const std::optional<RowPage> page = co_await this->ReadRow(aReason);
    if (!page) {
      co_return false;
    }
    const bool isUsable = !page->Rows().empty() && page->StoreTimeMs();
    if (!isUsable) {
      co_return true;
    }
    Reason reason;
    const std::optional<LeaseBounds> bounds =
      DecodeLeaseBounds(page->Rows().front().Value(), reason);
    if (!bounds) {
      EventLine("lease_bounds_unreadable").Field(reason).Emit();
      co_return true;
    }
    this->term->Domain().AdoptLeaseBounds(
      *bounds,
      this->term->BoundsKeptSince(),
      StoreClock(*page->StoreTimeMs(), sent, Clock::now()));
    EventLine("lease_bounds_loaded")
      .Field("workers", static_cast<std::int64_t>(bounds->size()))
      .Field("term", this->term->Number())
      .Emit();
    co_return true;
  }

  /** Stores the bounds until the term ends when they have changed. Failed
   * writes are logged and repeated. */
  boost::asio::awaitable<void> Run()
  {
    while (this->term->IsActive()) {
      if (this->term->Domain().AreLeaseBoundsDue(Clock::now())) {
        co_await this->Store();
      }
      co_await this->term->PauseFor(kInterval);
    }
  }

private:
  /** The wait of a worker that answers again before it is granted a lease. */
  static constexpr Milliseconds kInterval{ 100 };
  static constexpr Milliseconds kFailurePause{ 200 };

  boost::asio::awaitable<std::optional<RowPage>> ReadRow(Reason& aReason)
  {
    std::string table = kDomainTable;
    std::string from = kLeaseBoundsRow;
    std::string to = AfterKey(kLeaseBoundsRow);
    std::optional<RowPage> page = co_await this->term->Rows().Read(
      std::move(table), std::move(from), std::move(to), aReason);
    co_return page;
  }

  /** Reads the row for its revision and for the time of the store, and writes
   * it on the condition of that revision: an earlier write whose answer was
   * lost cannot take effect after this one. */
  boost::asio::awaitable<void> Store()
  {
    Reason reason;
    const Instant sent = Clock::now();
    const std::optional<RowPage> page = co_await this->ReadRow(reason);
    if (!this->term->IsActive()) {
      co_return;
    }
    if (!page || !page->StoreTimeMs()) {
      EventLine("lease_bounds_not_stored")
        .Field("step", "read")
        .Field(reason)
        .Emit();
      co_await this->term->PauseFor(kFailurePause);
      co_return;
    }
    const Instant now = Clock::now();
    const LeaseBounds bounds = this->term->Domain().PlanLeaseBounds(
      this->term->Number(), StoreClock(*page->StoreTimeMs(), sent, now), now);
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kDomainTable, kTermRow, this->term->Revision());
    AddCheck(checks,
             kDomainTable,
             kLeaseBoundsRow,
             page->Rows().empty() ? 0 : page->Rows().front().Revision());
    AddWrite(writes, kDomainTable, kLeaseBoundsRow, EncodeLeaseBounds(bounds));
    const TableTransaction transaction =
      MakeTransaction(std::move(checks), std::move(writes));
    const CommitAnswer answer =
      co_await this->term->Rows().Commit(transaction, reason);
    if (!this->term->IsActive()) {
      co_return;
    }
    this->term->Domain().LeaseBoundsAnswered(answer.Outcome());
    if (answer.Outcome() == WriteOutcome::kCommitted) {
      EventLine("lease_bounds_stored")
        .Field("workers", static_cast<std::int64_t>(bounds.size()))
        .Field("term", this->term->Number())
        .Emit();
      co_return;
    }
    EventLine("lease_bounds_not_stored")
      .Field("step", "write")
      .Field(reason)
      .Emit();
    co_await this->term->PauseFor(kFailurePause);
  }

  Term* term;
};

}
