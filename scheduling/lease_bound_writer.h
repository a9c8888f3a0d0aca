#pragma once

#include "codecs/lease_bounds_json.h"
#include "contracts/row_page.h"
#include "contracts/store_clock.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/store_rows.h"
#include "zones/domain_state.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Reads and stores the bounds of the leases on workers that the holder cannot
 * reach, and the leaving workers that get short leases only, so that the wait
 * for such a worker does not begin anew, or count longer leases, with the next
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
    const std::optional<RowPage> page = co_await this->ReadRows(aReason);
    if (!page) {
      co_return false;
    }
    if (page->Rows().empty() || !page->StoreTimeMs()) {
      co_return true;
    }
    const StoreClock clock(*page->StoreTimeMs(), sent, Clock::now());
    const LeaseBounds bounds = Decode(*page, kLeaseBoundsRow);
    const LeaseBounds leaving = Decode(*page, kLeavingLeasesRow);
    this->term->Domain().AdoptLeaseBounds(
      bounds, this->term->BoundsKeptSince(), clock);
    this->term->Domain().AdoptLeavingLeases(
      leaving, this->term->BoundsKeptSince(), clock);
    EventLine("lease_bounds_loaded")
      .Field("workers", static_cast<std::int64_t>(bounds.size()))
      .Field("leaving", static_cast<std::int64_t>(leaving.size()))
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

  /** The keys of both rows follow each other. */
  boost::asio::awaitable<std::optional<RowPage>> ReadRows(Reason& aReason)
  {
    std::string table = kDomainTable;
    std::string from = kLeaseBoundsRow;
    std::string to = AfterKey(kLeavingLeasesRow);
    std::optional<RowPage> page = co_await this->term->Rows().Read(
      std::move(table), std::move(from), std::move(to), aReason);
    co_return page;
  }

  static const TableRow* FindRow(const RowPage& aPage, const std::string& aKey)
  {
    const auto found = std::find_if(
      aPage.Rows().begin(), aPage.Rows().end(), [&aKey](const TableRow& aRow) {
        return aRow.Key() == aKey;
      });
    return found == aPage.Rows().end() ? nullptr : &*found;
  }

  static LeaseBounds Decode(const RowPage& aPage, const std::string& aKey)
  {
    const TableRow* row = FindRow(aPage, aKey);
    if (row == nullptr) {
      return LeaseBounds();
    }
    Reason reason;
    std::optional<LeaseBounds> bounds = DecodeLeaseBounds(row->Value(), reason);
    if (!bounds) {
      EventLine("lease_bounds_unreadable")
        .Field("row", aKey)
        .Field(reason)
        .Emit();
    }
    return bounds.value_or(LeaseBounds());
  }

  /** Adds the write of a row, on the condition of its revision in aPage. */
  static void AddRow(const RowPage& aPage,
                     const std::string& aKey,
                     const LeaseBounds& aBounds,
                     std::vector<TableCheck>& aChecks,
                     std::vector<TableWrite>& aWrites)
  {
    const TableRow* row = FindRow(aPage, aKey);
    AddCheck(aChecks, kDomainTable, aKey, row == nullptr ? 0 : row->Revision());
    AddWrite(aWrites, kDomainTable, aKey, EncodeLeaseBounds(aBounds));
  }

  /** Reads the rows for their revisions and for the time of the store, and
   * writes them on the condition of those revisions: an earlier write whose
   * answer was lost cannot take effect after this one. */
  boost::asio::awaitable<void> Store()
  {
    Reason reason;
    const Instant sent = Clock::now();
    const std::optional<RowPage> page = co_await this->ReadRows(reason);
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
    const StoreClock clock(*page->StoreTimeMs(), sent, now);
    const LeaseBounds bounds =
      this->term->Domain().PlanLeaseBounds(this->term->Number(), clock, now);
    const LeaseBounds leaving =
      this->term->Domain().PlanLeavingLeases(this->term->Number(), clock, now);
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kDomainTable, kTermRow, this->term->Revision());
    AddRow(*page, kLeaseBoundsRow, bounds, checks, writes);
    AddRow(*page, kLeavingLeasesRow, leaving, checks, writes);
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
        .Field("leaving", static_cast<std::int64_t>(leaving.size()))
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
