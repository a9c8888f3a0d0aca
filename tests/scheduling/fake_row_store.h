#pragma once

#include "codecs/base64.h"
#include "contracts/commit_answer_builder.h"
#include "contracts/row_page_builder.h"
#include "contracts/table_row_builder.h"
#include "contracts/table_transaction.h"
#include "core/reason.h"
#include "links/row_store.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinecourse {

/** Outcome of the next transaction. */
enum class StoreFault : std::uint8_t
{
  kNone,
  /** The transaction takes effect, but its answer is lost. */
  kLostApplied,
  /** The transaction never takes effect, and its answer is lost. */
  kLostUnapplied,
  /** The answer is lost, and the transaction is processed by ApplyLate(). */
  kLostLate,
  kNotWritten
};

/** RowStore in memory with injectable faults. */
class FakeRowStore
{
public:
  bool isDown = false;
  std::deque<StoreFault> faults;
  /** Number of reads that fail next. */
  int failingReads = 0;
  /** Called once, before the next transaction is processed. */
  std::function<void()> beforeCommit;
  /** Changes are answered with the loss of the history. */
  bool isHistoryLost = false;
  /** Called in turn, one before each read or list of changes. */
  std::deque<std::function<void()>> beforeReads;
  int commits = 0;
  /** Time on the store's clock that every answer gives. */
  std::int64_t timeMs = 5000;
  /** Bytes of values that one transaction may hold. */
  std::size_t maxCallBytes = 1'000'000;
  /** Transactions that exceeded a limit of the platform's store. */
  int refusals = 0;

  boost::asio::awaitable<std::optional<RowPage>> Read(std::string aTable,
                                                      std::string aFrom,
                                                      std::string aTo,
                                                      Reason& aReason)
  {
    this->RunReadHook();
    if (this->isDown) {
      aReason = Reason(Step::kPlatformRead, "fake", "down");
      co_return std::nullopt;
    }
    if (this->failingReads > 0) {
      --this->failingReads;
      aReason = Reason(Step::kUpstreamReceive, "fake", "end of stream");
      co_return std::nullopt;
    }
    std::vector<TableRow> found;
    for (const auto& [name, row] : this->rows) {
      const bool isInRange = name.first == aTable && name.second >= aFrom &&
                             (aTo.empty() || name.second < aTo);
      if (isInRange) {
        found.push_back(row);
      }
    }
    auto page = RowPageBuilder()
                  .Rows(std::move(found))
                  .Revision(this->revision)
                  .StoreTimeMs(this->timeMs)
                  .Build(aReason);
    co_return page;
  }

  boost::asio::awaitable<std::optional<RowPage>> Changes(std::string aTable,
                                                         std::int64_t aAfter,
                                                         Milliseconds,
                                                         Reason& aReason)
  {
    this->RunReadHook();
    if (this->isDown) {
      aReason = Reason(Step::kPlatformRead, "fake", "down");
      co_return std::nullopt;
    }
    std::vector<TableRow> found;
    for (const auto& [name, row] : this->rows) {
      if (name.first == aTable && row.Revision() > aAfter) {
        found.push_back(row);
      }
    }
    std::vector<std::string> removed;
    for (const auto& [name, removedAt] : this->removals) {
      if (name.first == aTable && removedAt > aAfter) {
        removed.push_back(name.second);
      }
    }
    auto page = RowPageBuilder()
                  .Rows(std::move(found))
                  .RemovedKeys(std::move(removed))
                  .IsHistoryLost(this->isHistoryLost)
                  .Revision(this->revision)
                  .StoreTimeMs(this->timeMs)
                  .Build(aReason);
    co_return page;
  }

  boost::asio::awaitable<CommitAnswer> Commit(
    const TableTransaction& aTransaction,
    Reason& aReason)
  {
    ++this->commits;
    if (const auto hook = std::exchange(this->beforeCommit, nullptr)) {
      hook();
    }
    StoreFault fault = StoreFault::kNone;
    if (!this->faults.empty()) {
      fault = this->faults.front();
      this->faults.pop_front();
    }
    aReason = Reason(Step::kPlatformWrite, "fake", "fault");
    if (this->isDown || fault == StoreFault::kNotWritten) {
      co_return MakeAnswer(WriteOutcome::kNotWritten);
    }
    if (fault == StoreFault::kLostLate) {
      this->late.push_back(aTransaction);
    }
    if (fault == StoreFault::kLostUnapplied || fault == StoreFault::kLostLate) {
      co_return MakeAnswer(WriteOutcome::kNotKnown);
    }
    if (!IsWithinLimits(aTransaction)) {
      aReason = Reason(Step::kPlatformWrite, "fake", "status 400");
      ++this->refusals;
      co_return MakeInvalid();
    }
    const bool isCommitted = this->Apply(aTransaction);
    if (fault == StoreFault::kLostApplied) {
      co_return MakeAnswer(WriteOutcome::kNotKnown);
    }
    co_return isCommitted ? this->Committed() : this->Conflict(aTransaction);
  }

  /** Processes the oldest transaction that is late, if its conditions hold. */
  void ApplyLate()
  {
    if (!this->late.empty()) {
      const TableTransaction transaction = this->late.front();
      this->late.pop_front();
      this->Apply(transaction);
    }
  }
  bool HasLate() const { return !this->late.empty(); }

  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue)
  {
    Reason reason;
    this->removals.erase({ aTable, aKey });
    this->rows[{ aTable, aKey }] = *TableRowBuilder()
                                      .Table(aTable)
                                      .Key(aKey)
                                      .Value(aValue)
                                      .Revision(++this->revision)
                                      .Build(reason);
  }

  void Remove(const std::string& aTable, const std::string& aKey)
  {
    this->rows.erase({ aTable, aKey });
    this->removals[{ aTable, aKey }] = ++this->revision;
  }

  const TableRow* Find(const std::string& aTable, const std::string& aKey) const
  {
    const auto found = this->rows.find({ aTable, aKey });
    return found == this->rows.end() ? nullptr : &found->second;
  }

  std::size_t CountRows(const std::string& aTable) const
  {
    return static_cast<std::size_t>(std::count_if(
      this->rows.begin(), this->rows.end(), [&aTable](const auto& aEntry) {
        return aEntry.first.first == aTable;
      }));
  }

private:
  void RunReadHook()
  {
    if (!this->beforeReads.empty()) {
      const auto hook = this->beforeReads.front();
      this->beforeReads.pop_front();
      hook();
    }
  }

  static CommitAnswer MakeAnswer(WriteOutcome aOutcome)
  {
    Reason reason;
    return *CommitAnswerBuilder().Outcome(aOutcome).Build(reason);
  }

  static CommitAnswer MakeInvalid()
  {
    Reason reason;
    return *CommitAnswerBuilder()
              .Outcome(WriteOutcome::kNotWritten)
              .IsInvalid(true)
              .Build(reason);
  }

  /** Whether the platform's store accepts a transaction of this size. */
  bool IsWithinLimits(const TableTransaction& aTransaction) const
  {
    constexpr std::size_t kMaxRows = 100;
    constexpr std::size_t kMaxValueBytes = 65'536;
    constexpr std::size_t kMaxKeyBytes = 200;
    std::size_t bytes = 0;
    for (const TableWrite& write : aTransaction.Writes()) {
      const std::size_t valueBytes =
        EncodeBase64(write.NewValue().value_or("")).size();
      if (valueBytes > kMaxValueBytes || write.Key().size() > kMaxKeyBytes) {
        return false;
      }
      bytes += valueBytes;
    }
    return bytes <= this->maxCallBytes &&
           aTransaction.Checks().size() + aTransaction.Writes().size() <=
             kMaxRows;
  }

  CommitAnswer Committed() const
  {
    Reason reason;
    return *CommitAnswerBuilder()
              .Outcome(WriteOutcome::kCommitted)
              .Revision(this->revision)
              .StoreTimeMs(this->timeMs)
              .Build(reason);
  }

  CommitAnswer Conflict(const TableTransaction& aTransaction) const
  {
    std::vector<TableRow> current;
    for (const TableCheck& check : aTransaction.Checks()) {
      if (const TableRow* row = this->Find(check.Table(), check.Key())) {
        current.push_back(*row);
      }
    }
    Reason reason;
    return *CommitAnswerBuilder()
              .Outcome(WriteOutcome::kConflict)
              .Current(std::move(current))
              .Build(reason);
  }

  bool Apply(const TableTransaction& aTransaction)
  {
    for (const TableCheck& check : aTransaction.Checks()) {
      const TableRow* row = this->Find(check.Table(), check.Key());
      if ((row == nullptr ? 0 : row->Revision()) != check.Revision()) {
        return false;
      }
    }
    const std::int64_t next = this->revision + 1;
    for (const TableWrite& write : aTransaction.Writes()) {
      if (write.NewValue()) {
        this->revision = next - 1;
        this->Put(write.Table(), write.Key(), *write.NewValue());
      } else {
        this->rows.erase({ write.Table(), write.Key() });
      }
    }
    this->revision = next;
    return true;
  }

  std::map<std::pair<std::string, std::string>, TableRow> rows;
  /** Revisions of the removals by Remove(). */
  std::map<std::pair<std::string, std::string>, std::int64_t> removals;
  std::deque<TableTransaction> late;
  std::int64_t revision = 0;
};

static_assert(RowStore<FakeRowStore>);

}
