#include "daemon/lease_thread.h"

#include "contracts/domain_host_settings_builder.h"
#include "contracts/domain_timing_builder.h"
#include "core/reason.h"
#include "tests/stand_ins/site_service.h"

#include <boost/asio/ip/tcp.hpp>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <memory>

namespace sardinecourse {

namespace {

constexpr Milliseconds kLease{ 600 };
constexpr Milliseconds kMaxWait{ 10'000 };
/** Longer than a lease that is not renewed lasts. */
constexpr Milliseconds kBusyTime = 3 * kLease;

Endpoint
FreeEndpoint()
{
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor probe(
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  Reason reason;
  return *Endpoint::Parse(
    "127.0.0.1:" + std::to_string(probe.local_endpoint().port()), reason);
}

}

/** The lease of a holder whose other threads are busy. */
class LeaseThreadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LeaseThreadTest);
  CPPUNIT_TEST(LeaseIsRenewedWhileTheHolderIsBusy);
  CPPUNIT_TEST(DepositionOfAnEarlierTermIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->endpoint = FreeEndpoint();
    this->context = std::make_unique<boost::asio::io_context>(1);
    this->service =
      std::make_unique<SiteService>(*this->context, this->endpoint.Text(), 0);
    this->server =
      std::make_unique<HttpServer<SiteService>>(*this->context, *this->service);
    Reason reason;
    CPPUNIT_ASSERT(this->server->Listen(this->endpoint, reason));
    this->serverThread = std::thread([this] { this->context->run(); });
    this->gained = std::promise<std::int64_t>();
    this->lost = std::promise<void>();
    this->lease = std::make_unique<LeaseThread>(
      this->MakeSettings(),
      "p1",
      LeaseThread::Loop::Listener{ [this](const DomainGain& aGain) {
                                    if (this->gains++ == 0) {
                                      this->gained.set_value(aGain.term);
                                    }
                                  },
                                   [this] { this->lost.set_value(); } });
    this->lease->Start();
  }

  void tearDown() override
  {
    this->lease.reset();
    this->context->stop();
    this->serverThread.join();
    this->server.reset();
    this->service.reset();
  }

  /** A load, a pass or a burst of answers blocks the thread that the holder
   * works on, here the test's, for longer than a lease. */
  void LeaseIsRenewedWhileTheHolderIsBusy()
  {
    std::future<std::int64_t> term = this->gained.get_future();
    CPPUNIT_ASSERT(term.wait_for(kMaxWait) == std::future_status::ready);
    CPPUNIT_ASSERT(this->lost.get_future().wait_for(kBusyTime) ==
                   std::future_status::timeout);
    CPPUNIT_ASSERT(Clock::now() < this->lease->ExclusiveUntil());
  }

  /** A late answer to an order of an earlier term must not end this one. */
  void DepositionOfAnEarlierTermIsIgnored()
  {
    std::future<std::int64_t> term = this->gained.get_future();
    CPPUNIT_ASSERT(term.wait_for(kMaxWait) == std::future_status::ready);
    const std::int64_t current = term.get();
    std::future<void> isLost = this->lost.get_future();
    this->lease->Deposed(current - 1);
    CPPUNIT_ASSERT(isLost.wait_for(kLease) == std::future_status::timeout);
    this->lease->Deposed(current);
    CPPUNIT_ASSERT(isLost.wait_for(kMaxWait) == std::future_status::ready);
  }

private:
  DomainHostSettings MakeSettings() const
  {
    Reason reason;
    return DomainHostSettingsBuilder()
      .Name(HostName("h1"))
      .DataCentre(DataCentreName("a"))
      .Callers(this->endpoint)
      .Readiness(this->endpoint)
      .Metrics(this->endpoint)
      .Store(this->endpoint)
      .ShareOfCore(1.0)
      .Timing(DomainTimingBuilder().HolderLease(kLease).Build(reason).value())
      .Build(reason)
      .value();
  }

  Endpoint endpoint;
  std::unique_ptr<boost::asio::io_context> context;
  std::unique_ptr<SiteService> service;
  std::unique_ptr<HttpServer<SiteService>> server;
  std::thread serverThread;
  std::promise<std::int64_t> gained;
  std::promise<void> lost;
  int gains = 0;
  std::unique_ptr<LeaseThread> lease;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseThreadTest);

}
