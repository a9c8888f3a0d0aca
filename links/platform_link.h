#pragma once

#include "contracts/table_row.h"
#include "contracts/table_transaction.h"
#include "contracts/write_outcome.h"
#include "core/endpoint.h"
#include "core/identity_source.h"
#include "core/instant.h"
#include "links/exchange_progress.h"
#include "links/http_answer.h"
#include "links/http_client.h"
#include "links/platform_counters.h"
#include "links/platform_table.h"
#include "machines/host_list.h"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

struct HttpRequest;
class Reason;

/**
 * Client of the platform's table and host list over HTTP. All calls run in the
 * thread of the io_context; other threads may only read the counters. Endpoints
 * are tried in order, starting with the last one that answered. Every call ends
 * within kCallBudget.
 */
class PlatformLink
{
public:
  static constexpr Milliseconds kExchangeTimeout{ 2000 };
  static constexpr Milliseconds kCallBudget{ 8000 };

  PlatformLink(boost::asio::io_context& aContext,
               std::vector<Endpoint> aEndpoints);
  ~PlatformLink();
  PlatformLink(const PlatformLink&) = delete;
  PlatformLink& operator=(const PlatformLink&) = delete;

  /** Reads one row; its revision is 0 if there is no such row. Empty, with the
   * reason, if no endpoint answered or the answer is invalid. */
  boost::asio::awaitable<std::optional<TableRow>> Read(std::string aKey,
                                                       Reason& aReason);
  /** Reads the rows whose keys start with a prefix, ordered by key. Empty, with
   * the reason, if no endpoint answered or the answer is invalid. */
  boost::asio::awaitable<std::optional<std::vector<TableRow>>> Scan(
    std::string aPrefix,
    Reason& aReason);
  /**
   * Applies the transaction at most once. After a lost answer, the outcome is
   * determined by the attempt's identity in the written rows. The attempt is
   * repeated only if one of the checked rows is also written, because the check
   * then fails if the first attempt took effect.
   */
  boost::asio::awaitable<WriteOutcome> Commit(TableTransaction aTransaction,
                                              Reason& aReason);
  /** Reads the list of hosts. Empty, with the reason, if no endpoint answered
   * or the answer is invalid. */
  boost::asio::awaitable<std::optional<HostList>> Hosts(Reason& aReason);

  const PlatformCounters& Counters() const { return this->counters; }
  /** True if the last call was answered without a server error. */
  bool Reachable() const { return this->reachable; }

private:
  struct Attempt;

  boost::asio::awaitable<std::optional<HttpAnswer>> SendRead(
    HttpRequest aRequest,
    Reason& aReason);
  boost::asio::awaitable<std::optional<HttpAnswer>> Send(
    const HttpRequest& aRequest,
    bool aIsIdempotent,
    ExchangeProgress& aProgress,
    Reason& aReason);
  boost::asio::awaitable<std::optional<WriteOutcome>> TryCommit(
    Attempt& aAttempt,
    Reason& aReason);
  boost::asio::awaitable<std::optional<WriteOutcome>>
  ResolveOutcome(const Attempt& aAttempt, bool aIsConflict, Reason& aReason);
  boost::asio::awaitable<std::optional<TableRow>> ReadStored(std::string aKey,
                                                             Reason& aReason);
  boost::asio::awaitable<void> Wait(Milliseconds aDuration);

  boost::asio::io_context* context;
  std::vector<Endpoint> endpoints;
  /** Index of the endpoint that answered last. */
  std::size_t preferred = 0;
  HttpClient client;
  IdentitySource identities;
  PlatformCounters counters;
  bool reachable = false;
};

static_assert(PlatformTable<PlatformLink>);

}
