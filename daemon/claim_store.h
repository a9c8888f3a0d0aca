#pragma once

#include "codecs/claim_json.h"
#include "contracts/claim.h"
#include "contracts/claim_answer.h"
#include "contracts/claim_builder.h"
#include "contracts/request.h"
#include "contracts/table_check_builder.h"
#include "contracts/table_transaction_builder.h"
#include "contracts/table_write_builder.h"
#include "core/instant.h"
#include "core/reason.h"
#include "daemon/claim_finalizer.h"
#include "links/platform_table.h"
#include "zones/claim_decision.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

/**
 * Claims idempotency keys in the platform's table, many in one transaction, and
 * stores the outcomes of their requests. All methods run on the control thread.
 */
template<PlatformTable Table>
class ClaimStore
{
public:
  ClaimStore(boost::asio::io_context& aContext, Table& aTable)
    : context(&aContext)
    , table(&aTable)
    , finalizer(aContext, aTable)
    , commitTimer(aContext)
  {
  }

  /** Claims the request's key, or returns the claim that already holds it. The
   * outcome is kOwned only before the request's deadline, and kUnavailable if
   * the table gave no certain answer. */
  boost::asio::awaitable<ClaimAnswer> Acquire(Request aRequest)
  {
    auto entry = std::make_shared<Entry>(aRequest, *this->context);
    entry->decided.expires_after(aRequest.Deadline() - Clock::now());
    this->pending.push_back(entry);
    if (!this->isClaiming) {
      this->isClaiming = true;
      boost::asio::co_spawn(
        *this->context, this->ClaimAll(), boost::asio::detached);
    }
    boost::system::error_code ignored;
    co_await entry->decided.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    if (!entry->answer) {
      entry->isAbandoned = true;
      co_return ClaimAnswer{};
    }
    co_return *entry->answer;
  }

  /** Stores the outcome of a request whose key was claimed. */
  void Finalize(const Request& aRequest, const Claim& aClaim)
  {
    this->finalizer.Finalize(ClaimRowKey(aRequest), aClaim);
  }

  /** Releases the key of a request that certainly did not run and never will.
   */
  void Release(const Request& aRequest)
  {
    this->finalizer.Release(ClaimRowKey(aRequest), aRequest.Identity());
  }

private:
  struct Entry
  {
    Entry(Request aRequest, boost::asio::io_context& aContext)
      : request(std::move(aRequest))
      , decided(aContext)
    {
    }
    Request request;
    boost::asio::steady_timer decided;
    std::optional<ClaimAnswer> answer;
    std::int32_t attempts = 0;
    /** The caller no longer waits for the answer. */
    bool isAbandoned = false;
    /** A transaction that contains this claim may have taken effect. */
    bool mayBeWritten = false;
  };
  using EntryPtr = std::shared_ptr<Entry>;

  static constexpr std::size_t kMaxPerTransaction = 64;
  static constexpr std::int32_t kMaxAttempts = 3;
  /** Min time between two claim transactions, so that all hosts together stay
   * within the platform's write limit. */
  static constexpr Milliseconds kCommitInterval{ 20 };

  static std::optional<std::string> EncodeNewClaim(const Request& aRequest)
  {
    Reason ignored;
    ClaimBuilder builder;
    builder.Owner(aRequest.Identity()).Fingerprint(aRequest.Fingerprint());
    const std::optional<Claim> claim = builder.Build(ignored);
    return claim ? std::optional(EncodeClaim(*claim)) : std::nullopt;
  }

  boost::asio::awaitable<void> ClaimAll()
  {
    boost::system::error_code ignored;
    while (!this->pending.empty()) {
      // Claims that arrive during this wait share one transaction.
      this->commitTimer.expires_after(this->lastCommit + kCommitInterval -
                                      Clock::now());
      co_await this->commitTimer.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
      this->lastCommit = Clock::now();
      std::vector<EntryPtr> batch = this->NextBatch();
      co_await this->ClaimBatch(std::move(batch));
    }
    this->isClaiming = false;
  }

  /** Removes the oldest pending entries, each key at most once. */
  std::vector<EntryPtr> NextBatch()
  {
    std::vector<EntryPtr> batch;
    std::deque<EntryPtr> rest;
    std::set<std::string> keys;
    for (EntryPtr& entry : this->pending) {
      const bool isDropped = entry->isAbandoned && !entry->mayBeWritten;
      if (isDropped) {
        continue;
      }
      const bool fits = batch.size() < kMaxPerTransaction;
      if (fits && keys.insert(ClaimRowKey(entry->request)).second) {
        batch.push_back(entry);
      } else {
        rest.push_back(entry);
      }
    }
    this->pending = std::move(rest);
    return batch;
  }

  boost::asio::awaitable<void> ClaimBatch(std::vector<EntryPtr> aBatch)
  {
    if (aBatch.empty()) {
      co_return;
    }
    Reason reason;
    TableTransactionBuilder builder;
    std::vector<TableCheck> checks;
    std::vector<TableWrite> writes;
    for (const EntryPtr& entry : aBatch) {
      TableCheckBuilder check;
      TableWriteBuilder write;
      check.Key(ClaimRowKey(entry->request)).Revision(0);
      write.Key(ClaimRowKey(entry->request))
        .NewValue(EncodeNewClaim(entry->request));
      checks.push_back(*check.Build(reason));
      writes.push_back(*write.Build(reason));
    }
    builder.Checks(std::move(checks)).Writes(std::move(writes));
    const std::optional<TableTransaction> transaction = builder.Build(reason);
    const WriteOutcome outcome =
      co_await this->table->Commit(*transaction, reason);
    for (const EntryPtr& entry : aBatch) {
      if (outcome == WriteOutcome::kCommitted) {
        this->Complete(entry, { ClaimOutcome::kOwned, Claim() });
        continue;
      }
      entry->mayBeWritten |= outcome == WriteOutcome::kNotKnown;
      co_await this->ResolveOrRetry(entry, outcome);
    }
  }

  /** Handles an entry whose transaction may not have taken effect: an existing
   * row decides the answer, otherwise the claim is retried. */
  boost::asio::awaitable<void> ResolveOrRetry(EntryPtr aEntry,
                                              WriteOutcome aOutcome)
  {
    Reason reason;
    std::optional<TableRow> row;
    if (aOutcome != WriteOutcome::kNotWritten) {
      const std::string key = ClaimRowKey(aEntry->request);
      row = co_await this->table->Read(key, reason);
    }
    if (row && row->Revision() != 0) {
      const std::optional<Claim> claim = DecodeClaim(row->Value(), reason);
      ClaimAnswer answer;
      if (claim) {
        answer = { DecideClaim(aEntry->request, *claim), *claim };
      }
      this->Complete(aEntry, answer);
      co_return;
    }
    ++aEntry->attempts;
    const bool isKnownAbsent = row.has_value();
    if (aEntry->attempts < kMaxAttempts &&
        (isKnownAbsent || aEntry->mayBeWritten)) {
      this->pending.push_back(aEntry);
      co_return;
    }
    this->Complete(aEntry, ClaimAnswer{});
  }

  void Complete(const EntryPtr& aEntry, const ClaimAnswer& aAnswer)
  {
    const bool isMine = aAnswer.outcome == ClaimOutcome::kOwned;
    const bool isExpired =
      aEntry->isAbandoned || Clock::now() >= aEntry->request.Deadline();
    // A claim that no caller will use is released: nothing was sent under it.
    const bool isUnused = isMine && isExpired;
    const bool isOrphan =
      aAnswer.outcome == ClaimOutcome::kUnavailable && aEntry->mayBeWritten;
    if (isUnused || isOrphan) {
      this->Release(aEntry->request);
    }
    aEntry->answer = isUnused ? ClaimAnswer{} : aAnswer;
    aEntry->decided.cancel();
  }

  boost::asio::io_context* context;
  Table* table;
  ClaimFinalizer<Table> finalizer;
  boost::asio::steady_timer commitTimer;
  Instant lastCommit;
  std::deque<EntryPtr> pending;
  bool isClaiming = false;
};

}
