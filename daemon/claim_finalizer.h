#pragma once

#include "codecs/claim_json.h"
#include "contracts/claim.h"
#include "contracts/table_check_builder.h"
#include "contracts/table_transaction_builder.h"
#include "contracts/table_write_builder.h"
#include "core/instant.h"
#include "core/reason.h"
#include "links/platform_table.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

/** Writes the outcomes of claimed keys to the platform's table in the
 * background, without delaying their callers. All methods run on the control
 * thread. */
template<PlatformTable Table>
class ClaimFinalizer
{
public:
  ClaimFinalizer(boost::asio::io_context& aContext, Table& aTable)
    : context(&aContext)
    , table(&aTable)
    , timer(aContext)
  {
  }

  /** Replaces a row that this host claimed by its final state. */
  void Finalize(std::string aKey, const Claim& aClaim)
  {
    this->Add({ std::move(aKey), EncodeClaim(aClaim), {}, 0 });
  }

  /** Deletes a row if it is claimed by aOwner. */
  void Release(std::string aKey, std::string aOwner)
  {
    this->Add({ std::move(aKey), {}, std::move(aOwner), 0 });
  }

private:
  struct PendingWrite
  {
    std::string key;
    /** The final row; empty for a release. */
    std::string row;
    std::string owner;
    std::int32_t attempts = 0;
  };

  static constexpr std::size_t kMaxPerTransaction = 64;
  static constexpr std::size_t kMaxPending = 20'000;
  static constexpr std::int32_t kMaxReleaseAttempts = 60;
  static constexpr Milliseconds kInterval{ 50 };
  static constexpr Milliseconds kRetryInterval{ 1000 };

  void Add(PendingWrite aWrite)
  {
    // Beyond the limit the oldest rows stay in the state "claimed". A repeated
    // request then gets the answer that the outcome is not known, which is
    // correct.
    if (this->pending.size() >= kMaxPending) {
      this->pending.pop_front();
    }
    this->pending.push_back(std::move(aWrite));
    if (!this->isRunning) {
      this->isRunning = true;
      boost::asio::co_spawn(
        *this->context, this->WriteAll(), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> WriteAll()
  {
    boost::system::error_code ignored;
    Milliseconds interval = kInterval;
    while (!this->pending.empty()) {
      this->timer.expires_after(interval);
      co_await this->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      std::vector<PendingWrite> batch = this->NextBatch();
      std::vector<PendingWrite> retries = co_await this->WriteBatch(batch);
      interval = retries.empty() ? kInterval : kRetryInterval;
      this->pending.insert(this->pending.end(), retries.begin(), retries.end());
    }
    this->isRunning = false;
  }

  /** Removes the oldest pending writes: one release, or a batch of final rows.
   */
  std::vector<PendingWrite> NextBatch()
  {
    std::vector<PendingWrite> batch;
    while (!this->pending.empty() && batch.size() < kMaxPerTransaction) {
      const bool isRelease = this->pending.front().row.empty();
      if (isRelease && !batch.empty()) {
        break;
      }
      batch.push_back(std::move(this->pending.front()));
      this->pending.pop_front();
      if (isRelease) {
        break;
      }
    }
    return batch;
  }

  /** Writes a batch; returns the writes that have to be retried. */
  boost::asio::awaitable<std::vector<PendingWrite>> WriteBatch(
    std::vector<PendingWrite> aBatch)
  {
    if (aBatch.front().row.empty()) {
      const bool isDone = co_await this->ReleaseOne(aBatch.front());
      ++aBatch.front().attempts;
      if (isDone || aBatch.front().attempts >= kMaxReleaseAttempts) {
        aBatch.clear();
      }
      co_return aBatch;
    }
    Reason reason;
    std::vector<TableWrite> writes;
    for (const PendingWrite& pendingWrite : aBatch) {
      TableWriteBuilder write;
      write.Key(pendingWrite.key).NewValue(pendingWrite.row);
      writes.push_back(*write.Build(reason));
    }
    TableTransactionBuilder builder;
    builder.Writes(std::move(writes));
    const std::optional<TableTransaction> transaction = builder.Build(reason);
    const WriteOutcome outcome =
      co_await this->table->Commit(*transaction, reason);
    if (outcome == WriteOutcome::kCommitted) {
      aBatch.clear();
    }
    co_return aBatch;
  }

  /**
   * Returns true when the owner's claim certainly no longer exists. An absent
   * row is read again later, because a claim whose answer was lost may still
   * take effect. The revision check prevents a late delete from removing a row
   * that another request has claimed since.
   */
  boost::asio::awaitable<bool> ReleaseOne(PendingWrite aWrite)
  {
    Reason reason;
    const std::optional<TableRow> row =
      co_await this->table->Read(aWrite.key, reason);
    if (!row || row->Revision() == 0) {
      co_return false;
    }
    const std::optional<Claim> claim = DecodeClaim(row->Value(), reason);
    const bool isOwned = claim && claim->Owner() == aWrite.owner &&
                         claim->State() == ClaimState::kClaimed;
    if (!isOwned) {
      co_return true;
    }
    TableCheckBuilder check;
    TableWriteBuilder write;
    check.Key(aWrite.key).Revision(row->Revision());
    write.Key(aWrite.key);
    std::vector<TableCheck> checks{ *check.Build(reason) };
    std::vector<TableWrite> writes{ *write.Build(reason) };
    TableTransactionBuilder builder;
    builder.Checks(std::move(checks)).Writes(std::move(writes));
    const std::optional<TableTransaction> transaction = builder.Build(reason);
    const WriteOutcome outcome =
      co_await this->table->Commit(*transaction, reason);
    co_return outcome == WriteOutcome::kCommitted;
  }

  boost::asio::io_context* context;
  Table* table;
  boost::asio::steady_timer timer;
  std::deque<PendingWrite> pending;
  bool isRunning = false;
};

}
