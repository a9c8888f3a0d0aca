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

/** Writes to the platform's table, behind the callers' backs, what became of
 * claimed keys. All methods run on the control thread. */
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

  /** Replaces a row that is claimed by this host for good. */
  void Settle(std::string aKey, const Claim& aClaim)
  {
    this->Add({ std::move(aKey), EncodeClaim(aClaim), {}, 0 });
  }

  /** Deletes a row if aOwner holds it. */
  void Release(std::string aKey, std::string aOwner)
  {
    this->Add({ std::move(aKey), {}, std::move(aOwner), 0 });
  }

private:
  struct Settlement
  {
    std::string key;
    /** The final row; empty for a release. */
    std::string row;
    std::string owner;
    std::int32_t tries = 0;
  };

  static constexpr std::size_t kMaxPerTransaction = 64;
  static constexpr std::size_t kMaxUnsettled = 20'000;
  static constexpr std::int32_t kMaxReleaseTries = 60;
  static constexpr Milliseconds kInterval{ 50 };
  static constexpr Milliseconds kRetryInterval{ 1000 };

  void Add(Settlement aSettlement)
  {
    // Beyond the bound the oldest stay "claimed": a second use is then told
    // that the outcome is not known, which is true.
    if (this->unsettled.size() >= kMaxUnsettled) {
      this->unsettled.pop_front();
    }
    this->unsettled.push_back(std::move(aSettlement));
    if (!this->isRunning) {
      this->isRunning = true;
      boost::asio::co_spawn(
        *this->context, this->SettleAll(), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> SettleAll()
  {
    boost::system::error_code ignored;
    Milliseconds pause = kInterval;
    while (!this->unsettled.empty()) {
      this->timer.expires_after(pause);
      co_await this->timer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      std::vector<Settlement> batch = this->TakeBatch();
      std::vector<Settlement> rest = co_await this->SettleBatch(batch);
      pause = rest.empty() ? kInterval : kRetryInterval;
      this->unsettled.insert(this->unsettled.end(), rest.begin(), rest.end());
    }
    this->isRunning = false;
  }

  /** The oldest settlements: one release, or many final rows. */
  std::vector<Settlement> TakeBatch()
  {
    std::vector<Settlement> batch;
    while (!this->unsettled.empty() && batch.size() < kMaxPerTransaction) {
      const bool isRelease = this->unsettled.front().row.empty();
      if (isRelease && !batch.empty()) {
        break;
      }
      batch.push_back(std::move(this->unsettled.front()));
      this->unsettled.pop_front();
      if (isRelease) {
        break;
      }
    }
    return batch;
  }

  /** Gives those that have to be tried again. */
  boost::asio::awaitable<std::vector<Settlement>> SettleBatch(
    std::vector<Settlement> aBatch)
  {
    if (aBatch.front().row.empty()) {
      const bool isDone = co_await this->ReleaseOne(aBatch.front());
      ++aBatch.front().tries;
      if (isDone || aBatch.front().tries >= kMaxReleaseTries) {
        aBatch.clear();
      }
      co_return aBatch;
    }
    Reason reason;
    std::vector<TableWrite> writes;
    for (const Settlement& settlement : aBatch) {
      TableWriteBuilder write;
      write.Key(settlement.key).NewValue(settlement.row);
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
   * True when the owner's row is certainly gone. An absent row is looked for
   * again: a claim whose answer was lost may yet take effect. The check of the
   * revision keeps a late delete from a row that another request claimed since.
   */
  boost::asio::awaitable<bool> ReleaseOne(Settlement aSettlement)
  {
    Reason reason;
    const std::optional<TableRow> row =
      co_await this->table->Read(aSettlement.key, reason);
    if (!row || row->Revision() == 0) {
      co_return false;
    }
    const std::optional<Claim> claim = DecodeClaim(row->Value(), reason);
    const bool isOurs = claim && claim->Owner() == aSettlement.owner &&
                        claim->State() == ClaimState::kClaimed;
    if (!isOurs) {
      co_return true;
    }
    TableCheckBuilder check;
    TableWriteBuilder write;
    check.Key(aSettlement.key).Revision(row->Revision());
    write.Key(aSettlement.key);
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
  std::deque<Settlement> unsettled;
  bool isRunning = false;
};

}
