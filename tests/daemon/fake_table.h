#pragma once

#include "contracts/table_row.h"
#include "contracts/table_row_builder.h"
#include "contracts/table_transaction.h"
#include "contracts/write_outcome.h"
#include "core/reason.h"
#include "links/platform_table.h"

#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <map>
#include <utility>

namespace sardinecourse {

/** Fault of the next transaction. */
enum class TableFault
{
  kNone,
  /** It takes effect, but the answer is lost. */
  kLostApplied,
  /** It never arrives, and no answer is sent. */
  kLostUnapplied,
  /** It is refused, and the caller is notified that it had no effect. */
  kNotWritten
};

/** An in-memory replacement of the platform's table with fault injection. */
class FakeTable
{
public:
  bool isDown = false;
  TableFault nextFault = TableFault::kNone;
  /** Called once, before the next transaction is processed. */
  std::function<void()> beforeCommit;

  boost::asio::awaitable<std::optional<TableRow>> Read(std::string aKey,
                                                       Reason& aReason)
  {
    if (this->isDown) {
      aReason = Reason(Step::kPlatformRead, "fake", "down");
      co_return std::nullopt;
    }
    co_return this->Row(aKey);
  }

  boost::asio::awaitable<std::optional<std::vector<TableRow>>> Scan(
    std::string aPrefix,
    Reason& aReason)
  {
    if (this->isDown) {
      aReason = Reason(Step::kPlatformRead, "fake", "down");
      co_return std::nullopt;
    }
    std::vector<TableRow> found;
    for (const auto& [key, row] : this->rows) {
      if (key.starts_with(aPrefix)) {
        found.push_back(row);
      }
    }
    co_return found;
  }

  boost::asio::awaitable<WriteOutcome> Commit(TableTransaction aTransaction,
                                              Reason& aReason)
  {
    if (const auto hook = std::exchange(this->beforeCommit, nullptr)) {
      hook();
    }
    const TableFault fault = std::exchange(this->nextFault, TableFault::kNone);
    aReason = Reason(Step::kPlatformWrite, "fake", "fault");
    if (this->isDown || fault == TableFault::kNotWritten) {
      co_return WriteOutcome::kNotWritten;
    }
    if (fault == TableFault::kLostUnapplied) {
      co_return WriteOutcome::kNotKnown;
    }
    const bool committed = this->Apply(aTransaction);
    if (fault == TableFault::kLostApplied) {
      co_return WriteOutcome::kNotKnown;
    }
    co_return committed ? WriteOutcome::kCommitted : WriteOutcome::kConflict;
  }

  TableRow Row(const std::string& aKey) const
  {
    const auto found = this->rows.find(aKey);
    Reason reason;
    return found == this->rows.end()
             ? *TableRowBuilder().Key(aKey).Build(reason)
             : found->second;
  }

private:
  bool Apply(const TableTransaction& aTransaction)
  {
    for (const TableCheck& check : aTransaction.Checks()) {
      if (this->Row(check.Key()).Revision() != check.Revision()) {
        return false;
      }
    }
    ++this->lastRevision;
    for (const TableWrite& write : aTransaction.Writes()) {
      this->rows.erase(write.Key());
      Reason reason;
      TableRowBuilder row;
      row.Key(write.Key()).Revision(this->lastRevision);
      if (write.NewValue()) {
        row.Value(*write.NewValue());
        this->rows.emplace(write.Key(), *row.Build(reason));
      }
    }
    return true;
  }

  std::map<std::string, TableRow> rows;
  std::int64_t lastRevision = 0;
};

static_assert(PlatformTable<FakeTable>);

}
