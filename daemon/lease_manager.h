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

/** Renews this host's lease on its data centre's racks, or takes the lease over
 * after its holder has failed. All methods run on the control thread. */
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
    , rowKey("holder/" + aDataCentre.Text())
    , timing(aTiming)
    , lease(std::move(aSelf), Clock::now(), aTiming.Margin())
    , logger(log4cplus::Logger::getInstance("lease"))
  {
  }

  /** Sets the data centre's entry hosts, as listed in the settings in force. */
  void SetHosts(const std::vector<HostName>& aHosts) { this->hosts = aHosts; }

  void SetTiming(const HolderTiming& aTiming) { this->timing = aTiming; }

  const HolderLease& Lease() const { return this->lease; }

  /** True if a command sent to a worker now ends before the lease can pass to
   * another host. */
  bool MayCommand() const
  {
    return !this->isStopping &&
           this->lease.MayCommand(Clock::now(), this->timing.CommandTimeout());
  }

  /** Answers a holder that asks this host not to take over from it; true if it
   * promises so. */
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

  /** Renews the lease, or watches for a takeover, until Stop(). */
  boost::asio::awaitable<void> Run()
  {
    while (!this->isStopping) {
      if (this->lease.IsHolder()) {
        co_await this->Renew();
      } else {
        co_await this->Watch();
      }
      co_await this->Sleep(this->timing.Renewal());
    }
  }

  /** Asks the electorate for promises while renewals fail, until Stop(). */
  boost::asio::awaitable<void> RunPromises()
  {
    while (!this->isStopping) {
      const bool isLate = Clock::now() - this->renewedAt >
                          kMaxMissedRenewals * this->timing.Renewal();
      if (this->lease.IsHolder() && isLate) {
        co_await this->AskPromises();
      }
      co_await this->Sleep(this->timing.Renewal());
    }
  }

  /** Stops commanding workers, and expires the lease so that another host can
   * take over at once. */
  boost::asio::awaitable<void> Stop()
  {
    this->isStopping = true;
    if (this->lease.IsHolder()) {
      const Ownership next = this->Next(Milliseconds(1));
      Reason reason;
      co_await this->Write(next, reason);
      LOG4CPLUS_INFO(this->logger,
                     "handed over " << this->rowKey << " term=" << next.Term());
    }
  }

private:
  /** Renewal intervals without success after which promises are requested. */
  static constexpr int kMaxMissedRenewals = 2;

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
      co_await this->table->Read(this->rowKey, reason);
    if (!read) {
      co_return;
    }
    std::optional<Ownership> ownership;
    if (read->Revision() != 0) {
      ownership = DecodeOwnership(read->Value(), reason);
    }
    const bool wasHolder = this->lease.IsHolder();
    this->lease =
      this->lease.RowRead(ownership, read->Revision(), Clock::now());
    if (wasHolder && !this->lease.IsHolder()) {
      LOG4CPLUS_WARN(this->logger,
                     "lost " << this->rowKey << " to host="
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
                     << this->rowKey << " term=" << next.Term()
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
                   "renewal of " << this->rowKey << " term=" << next.Term()
                                 << " failed: " << reason.Message());
    co_await this->Read();
  }

  /** Writes the row if it has not changed, and updates the lease if the
   * write is confirmed. */
  boost::asio::awaitable<WriteOutcome> Write(const Ownership aNext,
                                             Reason& aReason)
  {
    const auto check = TableCheckBuilder()
                         .Key(this->rowKey)
                         .Revision(this->lease.Revision())
                         .Build(aReason);
    const auto write = TableWriteBuilder()
                         .Key(this->rowKey)
                         .NewValue(EncodeOwnership(aNext))
                         .Build(aReason);
    const auto transaction = TableTransactionBuilder()
                               .Checks({ *check })
                               .Writes({ *write })
                               .Build(aReason);
    const Instant sentAt = Clock::now();
    const WriteOutcome outcome =
      co_await this->table->Commit(*transaction, aReason);
    if (outcome != WriteOutcome::kCommitted) {
      co_return outcome;
    }
    // The next renewal is checked against the revision that this write created.
    const std::optional<TableRow> read =
      co_await this->table->Read(this->rowKey, aReason);
    const std::optional<Ownership> stored =
      read ? DecodeOwnership(read->Value(), aReason) : std::nullopt;
    if (stored && *stored == aNext) {
      this->lease = this->lease.RowWritten(aNext, read->Revision(), sentAt);
      this->renewedAt = sentAt;
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
      .Term(this->lease.IsHolder() ? term : term + 1)
      .Lease(aLease)
      .Renewal(current ? current->Renewal() + 1 : 1)
      .Electorate(this->hosts)
      .Build(reason)
      .value_or(Ownership());
  }

  boost::asio::awaitable<void> AskPromises()
  {
    std::vector<boost::asio::awaitable<void>> requests;
    for (const HostName& host : this->lease.Electors()) {
      requests.push_back(this->AskPromise(host));
    }
    co_await WhenAll(*this->context, std::move(requests));
  }

  boost::asio::awaitable<void> AskPromise(HostName aHost)
  {
    const Instant sentAt = Clock::now();
    const std::int64_t term = this->lease.Row()->Term();
    const PromiseAnswer answer = co_await this->peers->AskPromise(aHost, term);
    if (this->lease.IsHolder() && this->lease.Row()->Term() == term) {
      this->lease = this->lease.Answered(aHost, answer, sentAt);
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
  std::string rowKey;
  HolderTiming timing;
  HolderLease lease;
  std::vector<HostName> hosts;
  Instant renewedAt;
  bool isStopping = false;
  log4cplus::Logger logger;
};

}
