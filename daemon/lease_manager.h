#pragma once

#include "codecs/job_json.h"
#include "contracts/ownership_builder.h"
#include "contracts/table_check_builder.h"
#include "contracts/table_transaction_builder.h"
#include "contracts/table_write_builder.h"
#include "core/reason.h"
#include "links/platform_table.h"
#include "links/promise_peers.h"
#include "links/when_all.h"
#include "machines/holder_timing.h"
#include "zones/holder_lease.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <string>
#include <vector>

namespace sardinecourse {

/** Keeps this host's lease on its data centre's racks, or takes it over when
 * its holder is gone. */
template<PlatformTable Table, PromisePeers Peers>
class LeaseManager
{
public:
  LeaseManager(boost::asio::io_context& aContext,
               Table& aTable,
               Peers& aPeers,
               HostName aSelf,
               const DataCentreName& aDataCentre,
               HolderTiming aTiming)
    : context(&aContext)
    , table(&aTable)
    , peers(&aPeers)
    , self(aSelf)
    , row("holder/" + aDataCentre.Text())
    , timing(aTiming)
    , lease(std::move(aSelf), Clock::now(), aTiming.Margin())
    , logger(log4cplus::Logger::getInstance("lease"))
  {
  }

  /** The entry hosts of the data centre, by the settings in force. */
  void SetHosts(const std::vector<HostName>& aHosts) { this->hosts = aHosts; }

  void SetTiming(const HolderTiming& aTiming) { this->timing = aTiming; }

  const HolderLease& Lease() const { return this->lease; }

  /** True when a command to a worker that is sent now ends in time. */
  bool MayCommand() const
  {
    return !this->isStopping &&
           this->lease.MayCommand(Clock::now(), this->timing.CommandTimeout());
  }

  /** Answers a holder that asks this host not to take over. */
  bool Promise(const HostName& aHolder, std::int64_t aTerm)
  {
    const std::optional<HolderLease> promised =
      this->lease.Promise(aHolder, aTerm, Clock::now());
    if (!promised) {
      return false;
    }
    this->lease = *promised;
    return true;
  }

  /** Renews or watches until Stop(). */
  boost::asio::awaitable<void> Run()
  {
    while (!this->isStopping) {
      if (this->lease.Holds()) {
        co_await this->Renew();
      } else {
        co_await this->Watch();
      }
      co_await this->Sleep(this->timing.Renewal());
    }
  }

  /** Asks for promises while renewals fail, until Stop(). */
  boost::asio::awaitable<void> RunPromises()
  {
    while (!this->isStopping) {
      const bool isLate =
        Clock::now() - this->renewed > kLate * this->timing.Renewal();
      if (this->lease.Holds() && isLate) {
        co_await this->AskPromises();
      }
      co_await this->Sleep(this->timing.Renewal());
    }
  }

  /** Commands no more, and lets another host take over at once. */
  boost::asio::awaitable<void> Stop()
  {
    this->isStopping = true;
    if (this->lease.Holds()) {
      const Ownership next = this->Next(Milliseconds(1));
      Reason reason;
      co_await this->Write(next, reason);
      LOG4CPLUS_INFO(this->logger,
                     "handed over " << this->row << " term=" << next.Term());
    }
  }

private:
  /** Renewals that may be missed before promises are asked for. */
  static constexpr int kLate = 2;

  boost::asio::awaitable<void> Sleep(Milliseconds aTime)
  {
    boost::system::error_code ignored;
    boost::asio::steady_timer timer(*this->context, aTime);
    co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }

  boost::asio::awaitable<void> Read()
  {
    Reason reason;
    const std::optional<TableRow> read =
      co_await this->table->Read(this->row, reason);
    if (!read) {
      co_return;
    }
    std::optional<Ownership> ownership;
    if (read->Revision() != 0) {
      ownership = DecodeOwnership(read->Value(), reason);
    }
    const bool held = this->lease.Holds();
    this->lease =
      this->lease.RowRead(ownership, read->Revision(), Clock::now());
    if (held && !this->lease.Holds()) {
      LOG4CPLUS_WARN(this->logger,
                     "lost " << this->row << " to host="
                             << (ownership ? ownership->Host().Text() : ""));
    }
  }

  boost::asio::awaitable<void> Watch()
  {
    co_await this->Read();
    if (this->isStopping ||
        !this->lease.MayTakeOver(this->hosts, Clock::now())) {
      co_return;
    }
    Reason reason;
    const Ownership next = this->Next(this->timing.Lease());
    this->lease = this->lease.TakeoverSent();
    const WriteOutcome outcome = co_await this->Write(next, reason);
    if (outcome == WriteOutcome::kConflict ||
        outcome == WriteOutcome::kNotWritten) {
      this->lease = this->lease.TakeoverFailed();
    }
    LOG4CPLUS_INFO(this->logger,
                   "takeover of "
                     << this->row << " term=" << next.Term()
                     << " committed=" << (outcome == WriteOutcome::kCommitted)
                     << " " << reason.Message());
  }

  boost::asio::awaitable<void> Renew()
  {
    Reason reason;
    const Ownership next = this->Next(this->timing.Lease());
    const WriteOutcome outcome = co_await this->Write(next, reason);
    if (outcome == WriteOutcome::kCommitted) {
      co_return;
    }
    LOG4CPLUS_WARN(this->logger,
                   "renewal of " << this->row << " term=" << next.Term()
                                 << " failed: " << reason.Message());
    co_await this->Read();
  }

  /** Writes the row if it has not changed, and takes note when that is known to
   * have taken effect. */
  boost::asio::awaitable<WriteOutcome> Write(const Ownership aNext,
                                             Reason& aReason)
  {
    const auto check = TableCheckBuilder()
                         .Key(this->row)
                         .Revision(this->lease.Revision())
                         .Build(aReason);
    const auto write = TableWriteBuilder()
                         .Key(this->row)
                         .NewValue(EncodeOwnership(aNext))
                         .Build(aReason);
    const auto transaction = TableTransactionBuilder()
                               .Checks({ *check })
                               .Writes({ *write })
                               .Build(aReason);
    const Instant sent = Clock::now();
    const WriteOutcome outcome =
      co_await this->table->Commit(*transaction, aReason);
    if (outcome != WriteOutcome::kCommitted) {
      co_return outcome;
    }
    // The next renewal is checked against the revision that this one made.
    const std::optional<TableRow> read =
      co_await this->table->Read(this->row, aReason);
    const std::optional<Ownership> stored =
      read ? DecodeOwnership(read->Value(), aReason) : std::nullopt;
    if (stored && *stored == aNext) {
      this->lease = this->lease.Written(aNext, read->Revision(), sent);
      this->renewed = sent;
    }
    co_return outcome;
  }

  Ownership Next(Milliseconds aLease) const
  {
    const std::optional<Ownership>& current = this->lease.Row();
    const std::int64_t term = current ? current->Term() : 0;
    Reason reason;
    return OwnershipBuilder()
      .Host(this->self)
      .Term(this->lease.Holds() ? term : term + 1)
      .Lease(aLease)
      .Renewal(current ? current->Renewal() + 1 : 1)
      .Electorate(this->hosts)
      .Build(reason)
      .value_or(Ownership());
  }

  boost::asio::awaitable<void> AskPromises()
  {
    std::vector<boost::asio::awaitable<void>> questions;
    for (const HostName& host : this->lease.Electors()) {
      questions.push_back(this->AskPromise(host));
    }
    co_await WhenAll(*this->context, std::move(questions));
  }

  boost::asio::awaitable<void> AskPromise(HostName aHost)
  {
    const Instant asked = Clock::now();
    const std::int64_t term = this->lease.Row()->Term();
    const PromiseAnswer answer = co_await this->peers->AskPromise(aHost, term);
    if (this->lease.Holds() && this->lease.Row()->Term() == term) {
      this->lease = this->lease.Answered(aHost, answer, asked);
    }
    LOG4CPLUS_INFO(this->logger,
                   "promise of host=" << aHost.Text() << " term=" << term
                                      << " answer="
                                      << static_cast<int>(answer));
  }

  boost::asio::io_context* context;
  Table* table;
  Peers* peers;
  HostName self;
  std::string row;
  HolderTiming timing;
  HolderLease lease;
  std::vector<HostName> hosts;
  Instant renewed;
  bool isStopping = false;
  log4cplus::Logger logger;
};

}
