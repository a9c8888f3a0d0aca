#include "links/platform_link.h"

#include "contracts/table_check_builder.h"
#include "contracts/table_transaction_builder.h"
#include "contracts/table_write_builder.h"
#include "core/reason.h"
#include "links/http_server.h"
#include "tests/stand_ins/platform_service.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cppunit/extensions/HelperMacros.h>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

Endpoint
FreeEndpoint(asio::io_context& aContext)
{
  asio::ip::tcp::acceptor probe(aContext,
                                { asio::ip::make_address("127.0.0.1"), 0 });
  const auto port = std::to_string(probe.local_endpoint().port());
  Reason reason;
  return *Endpoint::Parse("127.0.0.1:" + port, reason);
}

TableTransaction
MakePut(const std::string& aKey,
        std::int64_t aRevision,
        const std::string& aValue)
{
  Reason reason;
  TableTransactionBuilder builder;
  builder.Checks(
    { *TableCheckBuilder().Key(aKey).Revision(aRevision).Build(reason) });
  builder.Writes(
    { *TableWriteBuilder().Key(aKey).NewValue(aValue).Build(reason) });
  return *builder.Build(reason);
}

}

/** Tests of PlatformLink against PlatformService, a stand-in of the platform,
 * in one event loop. */
class PlatformLinkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PlatformLinkTest);
  CPPUNIT_TEST(ReadAndScanReturnCommittedRows);
  CPPUNIT_TEST(CommitConflictsIfCheckedRowHasChanged);
  CPPUNIT_TEST(CommitIsRepeatedAfterLostAnswers);
  CPPUNIT_TEST(OutcomeIsNotKnownIfRowIsReplacedAfterLostAnswer);
  CPPUNIT_TEST(TransactionWithoutCheckIsNotRepeatedAfterLostAnswer);
  CPPUNIT_TEST(CommitIsNotWrittenIfConnectionIsRefused);
  CPPUNIT_TEST(CommitFailsOverToNextEndpoint);
  CPPUNIT_TEST(CommitSucceedsAfterPlatformWasUnresponsive);
  CPPUNIT_TEST(HostListOmitsChangesWithinLag);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->context = std::make_unique<asio::io_context>(1);
    this->service = std::make_unique<PlatformService>(*this->context);
    this->server = std::make_unique<HttpServer<PlatformService>>(
      *this->context, *this->service);
    this->endpoint = FreeEndpoint(*this->context);
    Reason reason;
    CPPUNIT_ASSERT(this->server->Listen(this->endpoint, reason));
    this->link = std::make_unique<PlatformLink>(
      *this->context, std::vector<Endpoint>{ this->endpoint });
  }

  void tearDown() override
  {
    // The other objects own sockets and timers of the context, so they are
    // destroyed first.
    this->link.reset();
    this->server.reset();
    this->service.reset();
    this->context.reset();
  }

  void ReadAndScanReturnCommittedRows()
  {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, this->Read("a/1").Revision());
    CPPUNIT_ASSERT(this->Commit(MakePut("a/1", 0, "x\ny")) ==
                   WriteOutcome::kCommitted);
    CPPUNIT_ASSERT(this->Commit(MakePut("b", 0, "z")) ==
                   WriteOutcome::kCommitted);
    CPPUNIT_ASSERT_EQUAL(std::string("x\ny"), this->Read("a/1").Value());
    const auto rows = this->Run(this->link->Scan("a/", this->reason));
    CPPUNIT_ASSERT(rows && rows->size() == 1);
    CPPUNIT_ASSERT(rows->front() == this->Read("a/1"));
    CPPUNIT_ASSERT(this->link->Counters().writes == 2);
  }

  void CommitConflictsIfCheckedRowHasChanged()
  {
    CPPUNIT_ASSERT(this->Commit(MakePut("a", 0, "x")) ==
                   WriteOutcome::kCommitted);
    CPPUNIT_ASSERT(this->Commit(MakePut("a", 0, "y")) ==
                   WriteOutcome::kConflict);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), this->Read("a").Value());
  }

  void CommitIsRepeatedAfterLostAnswers()
  {
    this->Control("/faults", R"({"lose_answers": 2})");
    CPPUNIT_ASSERT(this->Commit(MakePut("a", 0, "x")) ==
                   WriteOutcome::kCommitted);
    CPPUNIT_ASSERT_EQUAL(std::string("x"), this->Read("a").Value());
    CPPUNIT_ASSERT(this->link->Counters().writes == 3);
    CPPUNIT_ASSERT(this->link->Counters().notKnown == 0);
  }

  void OutcomeIsNotKnownIfRowIsReplacedAfterLostAnswer()
  {
    // The other writer overwrites the row while the first one waits before its
    // next attempt.
    this->Control("/faults", R"({"lose_answers": 1})");
    PlatformLink other(*this->context, { this->endpoint });
    asio::co_spawn(*this->context, Overwrite(other, "a"), asio::detached);
    CPPUNIT_ASSERT(this->Commit(MakePut("a", 0, "x")) ==
                   WriteOutcome::kNotKnown);
    CPPUNIT_ASSERT_EQUAL(std::string("other"), this->Read("a").Value());
  }

  void TransactionWithoutCheckIsNotRepeatedAfterLostAnswer()
  {
    Reason reason;
    TableTransactionBuilder builder;
    builder.Writes(
      { *TableWriteBuilder().Key("a").NewValue("x").Build(reason) });
    this->Control("/faults", R"({"lose_answers": 1})");
    CPPUNIT_ASSERT(this->Commit(*builder.Build(reason)) ==
                   WriteOutcome::kCommitted);
    CPPUNIT_ASSERT(this->link->Counters().writes == 1);
  }

  void CommitIsNotWrittenIfConnectionIsRefused()
  {
    PlatformLink unreachable(*this->context, { FreeEndpoint(*this->context) });
    const WriteOutcome outcome =
      this->Run(unreachable.Commit(MakePut("a", 0, "x"), this->reason));
    CPPUNIT_ASSERT(outcome == WriteOutcome::kNotWritten);
    CPPUNIT_ASSERT(this->reason.At() == Step::kUpstreamConnect);
    CPPUNIT_ASSERT(!unreachable.Reachable());
  }

  void CommitFailsOverToNextEndpoint()
  {
    PlatformLink failover(*this->context,
                          { FreeEndpoint(*this->context), this->endpoint });
    const WriteOutcome outcome =
      this->Run(failover.Commit(MakePut("a", 0, "x"), this->reason));
    CPPUNIT_ASSERT(outcome == WriteOutcome::kCommitted);
    CPPUNIT_ASSERT(failover.Reachable());
  }

  void CommitSucceedsAfterPlatformWasUnresponsive()
  {
    CPPUNIT_ASSERT(this->Commit(MakePut("a", 0, "x")) ==
                   WriteOutcome::kCommitted);
    this->Control("/faults", R"({"down": "hang"})");
    asio::steady_timer timer(*this->context, std::chrono::milliseconds(2500));
    timer.async_wait([this](const boost::system::error_code&) {
      this->Post("/faults", R"({"down": "none"})");
    });
    CPPUNIT_ASSERT(this->Commit(MakePut("a", 1, "y")) ==
                   WriteOutcome::kCommitted);
    CPPUNIT_ASSERT_EQUAL(std::string("y"), this->Read("a").Value());
  }

  void HostListOmitsChangesWithinLag()
  {
    this->Control("/hosts", R"({"name": "w1", "state": "live"})");
    this->Control("/faults", R"({"host_lag_ms": 60000})");
    this->Control("/hosts", R"({"name": "w1", "state": "leaving"})");
    const auto hosts = this->Run(this->link->Hosts(this->reason));
    CPPUNIT_ASSERT(hosts && hosts->IsLive("w1") && !hosts->IsLeaving("w1"));
  }

private:
  template<typename Value>
  static asio::awaitable<void> StoreResult(asio::awaitable<Value> aCall,
                                           std::optional<Value>& aResult)
  {
    Value value = co_await std::move(aCall);
    aResult = std::move(value);
  }

  static asio::awaitable<void> Overwrite(PlatformLink& aLink, std::string aKey)
  {
    Reason reason;
    std::optional<TableRow> row;
    do {
      row = co_await aLink.Read(aKey, reason);
    } while (!row || row->Revision() == 0);
    TableTransaction transaction = MakePut(aKey, row->Revision(), "other");
    co_await aLink.Commit(std::move(transaction), reason);
  }

  /** Runs the event loop until the call has its result. */
  template<typename Value>
  Value Run(asio::awaitable<Value> aCall)
  {
    std::optional<Value> result;
    asio::co_spawn(
      *this->context, StoreResult(std::move(aCall), result), asio::detached);
    while (!result) {
      this->context->run_one();
    }
    return *result;
  }

  TableRow Read(const std::string& aKey)
  {
    const auto row = this->Run(this->link->Read(aKey, this->reason));
    CPPUNIT_ASSERT_MESSAGE(this->reason.Message(), row.has_value());
    return *row;
  }

  WriteOutcome Commit(const TableTransaction& aTransaction)
  {
    return this->Run(this->link->Commit(aTransaction, this->reason));
  }

  void Post(const std::string& aTarget, const std::string& aBody)
  {
    HttpRequest request{ "POST", aTarget, {}, aBody };
    asio::co_spawn(*this->context,
                   this->service->Handle(std::move(request)),
                   [](const std::exception_ptr&, const HttpAnswer&) {});
  }

  void Control(const std::string& aTarget, const std::string& aBody)
  {
    this->Run(this->service->Handle({ "POST", aTarget, {}, aBody }));
  }

  std::unique_ptr<asio::io_context> context;
  std::unique_ptr<PlatformService> service;
  std::unique_ptr<HttpServer<PlatformService>> server;
  std::unique_ptr<PlatformLink> link;
  Endpoint endpoint;
  Reason reason;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformLinkTest);

}
