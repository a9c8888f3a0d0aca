#include "links/platform_link.h"

#include "codecs/platform_json.h"
#include "codecs/stored_value.h"
#include "contracts/table_row_builder.h"
#include "core/reason.h"
#include "links/http_request.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr int kOk = 200;
constexpr int kConflictStatus = 409;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr Milliseconds kInitialPause{ 50 };
constexpr Milliseconds kMaxPause{ 1000 };

HttpRequest
Post(const char* aTarget, std::string aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.target = aTarget;
  request.fields.Add("Content-Type", "application/json");
  request.body = std::move(aBody);
  return request;
}

bool
IsServerError(const HttpAnswer& aAnswer)
{
  return aAnswer.status >= kFirstServerError;
}

/** Replaces the stored value of a row by its payload, without the identity of
 * the attempt that wrote it. */
std::optional<TableRow>
DecodeStoredRow(const TableRow& aStored, Reason& aReason)
{
  TableRowBuilder builder;
  builder.Key(aStored.Key()).Revision(aStored.Revision());
  builder.Value(DecodeStoredValue(aStored.Value()).value);
  return builder.Build(aReason);
}

/**
 * True if the transaction may safely be sent again: a checked row is also
 * written, so the check fails once the transaction has taken effect.
 */
bool
IsRepeatable(const TableTransaction& aTransaction)
{
  for (const TableCheck& check : aTransaction.Checks()) {
    for (const TableWrite& write : aTransaction.Writes()) {
      if (write.Key() == check.Key()) {
        return true;
      }
    }
  }
  return false;
}

}

/** One transaction under way, with its identity and whether it may have reached
 * the platform. */
struct PlatformLink::Attempt
{
  TableTransaction transaction;
  std::string identity;
  HttpRequest request;
  bool isRepeatable = false;
  bool maybeSent = false;
};

PlatformLink::PlatformLink(asio::io_context& aContext,
                           std::vector<Endpoint> aEndpoints)
  : context(&aContext)
  , endpoints(std::move(aEndpoints))
  , client(aContext)
{
}

PlatformLink::~PlatformLink() = default;

asio::awaitable<std::optional<TableRow>>
PlatformLink::Read(std::string aKey, Reason& aReason)
{
  std::optional<TableRow> stored =
    co_await this->ReadStored(std::move(aKey), aReason);
  if (!stored) {
    co_return std::nullopt;
  }
  co_return DecodeStoredRow(*stored, aReason);
}

asio::awaitable<std::optional<std::vector<TableRow>>>
PlatformLink::Scan(std::string aPrefix, Reason& aReason)
{
  HttpRequest request = Post("/table/scan", EncodeScanRequest(aPrefix));
  const std::optional<HttpAnswer> answer =
    co_await this->SendRead(std::move(request), aReason);
  if (!answer) {
    co_return std::nullopt;
  }
  const std::optional<std::vector<TableRow>> stored =
    DecodeRows(answer->body, aReason);
  if (!stored) {
    co_return std::nullopt;
  }
  std::vector<TableRow> rows;
  for (const TableRow& row : *stored) {
    std::optional<TableRow> decoded = DecodeStoredRow(row, aReason);
    if (!decoded) {
      co_return std::nullopt;
    }
    rows.push_back(std::move(*decoded));
  }
  co_return rows;
}

asio::awaitable<std::optional<HostList>>
PlatformLink::Hosts(Reason& aReason)
{
  HttpRequest request;
  request.method = "GET";
  request.target = "/hosts";
  const std::optional<HttpAnswer> answer =
    co_await this->SendRead(std::move(request), aReason);
  if (!answer) {
    co_return std::nullopt;
  }
  co_return DecodeHostList(answer->body, aReason);
}

asio::awaitable<WriteOutcome>
PlatformLink::Commit(TableTransaction aTransaction, Reason& aReason)
{
  Attempt attempt;
  attempt.identity = this->identities.Next();
  attempt.request = Post("/table/transaction",
                         EncodeTransaction(aTransaction, attempt.identity));
  attempt.isRepeatable = IsRepeatable(aTransaction);
  attempt.transaction = std::move(aTransaction);
  const Instant deadline = Clock::now() + kCallBudget;
  Milliseconds pause = kInitialPause;
  while (true) {
    const std::optional<WriteOutcome> outcome =
      co_await this->TryCommit(attempt, aReason);
    if (outcome) {
      co_return *outcome;
    }
    if (Clock::now() + pause + kExchangeTimeout > deadline) {
      break;
    }
    co_await this->Wait(pause);
    pause = std::min(pause * 2, kMaxPause);
  }
  this->counters.notKnown.fetch_add(1, std::memory_order_relaxed);
  co_return WriteOutcome::kNotKnown;
}

/** Sends the transaction once, or checks the outcome of an earlier attempt;
 * empty while the outcome is not known. */
asio::awaitable<std::optional<WriteOutcome>>
PlatformLink::TryCommit(Attempt& aAttempt, Reason& aReason)
{
  if (aAttempt.maybeSent && !aAttempt.isRepeatable) {
    std::optional<WriteOutcome> resolved =
      co_await this->ResolveOutcome(aAttempt, false, aReason);
    co_return resolved;
  }
  this->counters.writes.fetch_add(1, std::memory_order_relaxed);
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  const std::optional<HttpAnswer> answer =
    co_await this->Send(aAttempt.request, false, progress, aReason);
  if (!answer || IsServerError(*answer)) {
    if (progress == ExchangeProgress::kNotSent && !aAttempt.maybeSent) {
      co_return WriteOutcome::kNotWritten;
    }
    aAttempt.maybeSent = true;
    co_return std::nullopt;
  }
  if (answer->status == kOk) {
    co_return WriteOutcome::kCommitted;
  }
  if (aAttempt.maybeSent) {
    std::optional<WriteOutcome> resolved =
      co_await this->ResolveOutcome(aAttempt, true, aReason);
    co_return resolved;
  }
  aReason = Reason(Step::kPlatformWrite,
                   this->endpoints[this->preferred].Text(),
                   answer->status == kConflictStatus
                     ? "a checked row has changed"
                     : "transaction refused: " + answer->body);
  co_return answer->status == kConflictStatus ? WriteOutcome::kConflict
                                              : WriteOutcome::kNotWritten;
}

/**
 * Searches the rows that the transaction writes for the attempt's identity. A
 * conflict after a lost answer does not show by itself that the attempt failed:
 * it may have succeeded, and another writer may have replaced its row since.
 * Only a checked and written row that still has the checked revision shows that
 * the attempt never took effect.
 */
asio::awaitable<std::optional<WriteOutcome>>
PlatformLink::ResolveOutcome(const Attempt& aAttempt,
                             bool aIsConflict,
                             Reason& aReason)
{
  bool isUntouched = false;
  for (const TableWrite& write : aAttempt.transaction.Writes()) {
    std::string key = write.Key();
    const std::optional<TableRow> row =
      co_await this->ReadStored(std::move(key), aReason);
    if (!row) {
      co_return std::nullopt;
    }
    if (DecodeStoredValue(row->Value()).attempt == aAttempt.identity) {
      co_return WriteOutcome::kCommitted;
    }
    for (const TableCheck& check : aAttempt.transaction.Checks()) {
      isUntouched |= check.Key() == row->Key() && check.Revision() > 0 &&
                     check.Revision() == row->Revision();
    }
  }
  if (!aIsConflict) {
    aReason =
      Reason(Step::kPlatformWrite, "", "the answer to a transaction was lost");
    co_return std::nullopt;
  }
  aReason = Reason(
    Step::kPlatformWrite, "", "a checked row has changed after a lost answer");
  co_return isUntouched ? WriteOutcome::kConflict : WriteOutcome::kNotKnown;
}

asio::awaitable<std::optional<TableRow>>
PlatformLink::ReadStored(std::string aKey, Reason& aReason)
{
  HttpRequest request = Post("/table/read", EncodeReadRequest(aKey));
  const std::optional<HttpAnswer> answer =
    co_await this->SendRead(std::move(request), aReason);
  if (!answer) {
    co_return std::nullopt;
  }
  co_return DecodeRow(answer->body, aReason);
}

/** Sends a read call, which may safely be repeated. Empty, with the reason, if
 * no endpoint answered it with status 200. */
asio::awaitable<std::optional<HttpAnswer>>
PlatformLink::SendRead(HttpRequest aRequest, Reason& aReason)
{
  this->counters.reads.fetch_add(1, std::memory_order_relaxed);
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  std::optional<HttpAnswer> answer =
    co_await this->Send(aRequest, true, progress, aReason);
  if (answer && answer->status != kOk) {
    aReason = Reason(Step::kPlatformRead,
                     this->endpoints[this->preferred].Text(),
                     "status " + std::to_string(answer->status));
    this->counters.failures.fetch_add(1, std::memory_order_relaxed);
    co_return std::nullopt;
  }
  co_return answer;
}

/**
 * Tries each endpoint once and the preferred one twice, because the first
 * attempt may have used a pooled connection that the other side had closed. A
 * request that is not idempotent is not sent again once it may have arrived.
 */
asio::awaitable<std::optional<HttpAnswer>>
PlatformLink::Send(const HttpRequest& aRequest,
                   bool aIsIdempotent,
                   ExchangeProgress& aProgress,
                   Reason& aReason)
{
  if (this->endpoints.empty()) {
    aReason = Reason(
      Step::kPlatformRead, "", "the settings contain no platform endpoint");
    co_return std::nullopt;
  }
  const std::size_t first = this->preferred;
  const Instant deadline = Clock::now() + kCallBudget;
  for (std::size_t count = 0; count <= this->endpoints.size(); ++count) {
    const std::size_t index = (first + count) % this->endpoints.size();
    const Endpoint endpoint = this->endpoints[index];
    ExchangeProgress progress = ExchangeProgress::kNotSent;
    std::optional<HttpAnswer> answer = co_await this->client.Call(
      endpoint, aRequest, kExchangeTimeout, progress, aReason);
    aProgress = std::max(aProgress, progress);
    if (answer && (!IsServerError(*answer) || !aIsIdempotent)) {
      this->preferred = index;
      this->reachable = !IsServerError(*answer);
      co_return answer;
    }
    const bool mayRepeat =
      aIsIdempotent || progress == ExchangeProgress::kNotSent;
    if (!mayRepeat || Clock::now() + kExchangeTimeout > deadline) {
      break;
    }
  }
  this->reachable = false;
  this->counters.failures.fetch_add(1, std::memory_order_relaxed);
  co_return std::nullopt;
}

asio::awaitable<void>
PlatformLink::Wait(Milliseconds aDuration)
{
  boost::system::error_code ignored;
  asio::steady_timer timer(*this->context, aDuration);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}
