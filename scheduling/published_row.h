#pragma once

#include "contracts/row_page.h"
#include "core/reason.h"
#include "links/row_store.h"
#include "scheduling/event_line.h"
#include "scheduling/store_rows.h"

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** A row of the domain that only its holder writes. A write without an answer
 * may have been performed, or may be performed seconds later. From then on the
 * row's content is unknown until a later write is acknowledged: each write
 * depends on the row's revision, so none before that one can take effect any
 * more. */
template<typename Term>
class PublishedRow
{
public:
  PublishedRow(Term& aTerm, std::string aKey)
    : term(&aTerm)
    , key(std::move(aKey))
  {
  }

  /** Whether a write without an answer may still change the row. */
  bool IsDoubtful() const { return this->isDoubtful; }
  /** The value as last read or written; empty when there is no row. */
  const std::optional<std::string>& Value() const { return this->value; }

  /** Reads the row unless its revision is known; false, with the reason, when
   * that failed. */
  boost::asio::awaitable<bool> Load(Reason& aReason)
  {
    if (this->revision) {
      co_return true;
    }
    std::string table = kDomainTable;
    std::string from = this->key;
    std::string to = AfterKey(this->key);
    const std::optional<RowPage> page = co_await this->term->Rows().Read(
      std::move(table), std::move(from), std::move(to), aReason);
    if (!page) {
      co_return false;
    }
    this->value.reset();
    this->revision = 0;
    if (!page->Rows().empty()) {
      this->value = page->Rows().front().Value();
      this->revision = page->Rows().front().Revision();
    }
    co_return true;
  }

  /** Makes the row hold the value. Returns whether it certainly does; a failure
   * is logged, and the call has to be repeated. */
  boost::asio::awaitable<bool> Store(std::string aValue)
  {
    Reason reason;
    const bool isLoaded = co_await this->Load(reason);
    if (!isLoaded || !this->term->IsActive()) {
      this->LogFailure("read", reason);
      co_return false;
    }
    if (!this->isDoubtful && this->value == aValue) {
      co_return true;
    }
    const TableTransaction transaction = this->TransactionFor(aValue);
    const CommitAnswer answer =
      co_await this->term->Rows().Commit(transaction, reason);
    switch (answer.Outcome()) {
      case WriteOutcome::kCommitted:
        this->revision = answer.Revision();
        this->value = std::move(aValue);
        this->isDoubtful = false;
        co_return true;
      case WriteOutcome::kNotKnown:
        this->isDoubtful = true;
        this->revision.reset();
        break;
      case WriteOutcome::kConflict:
        // A write without an answer has been performed meanwhile.
        this->revision.reset();
        break;
      case WriteOutcome::kNotWritten:
        break;
    }
    this->LogFailure("write", reason);
    co_return false;
  }

private:
  TableTransaction TransactionFor(const std::string& aValue) const
  {
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    AddCheck(checks, kDomainTable, kTermRow, this->term->Revision());
    AddCheck(checks, kDomainTable, this->key, *this->revision);
    AddWrite(writes, kDomainTable, this->key, aValue);
    return MakeTransaction(std::move(checks), std::move(writes));
  }

  void LogFailure(const char* aStep, const Reason& aReason) const
  {
    EventLine(this->key + "_not_stored")
      .Field("step", aStep)
      .Field("doubtful", this->isDoubtful ? 1 : 0)
      .Field(aReason)
      .Emit();
  }

  Term* term;
  std::string key;
  /** Revision of the row, 0 when there is none; empty when not known. */
  std::optional<std::int64_t> revision;
  std::optional<std::string> value;
  bool isDoubtful = false;
};

}
