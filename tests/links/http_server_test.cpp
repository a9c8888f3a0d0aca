#include "links/http_server.h"

#include "machines/caller_limits_builder.h"
#include "tests/harness/loopback.h"
#include "tests/harness/raw_connection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

namespace sardinecourse {

namespace asio = boost::asio;
using harness::RawConnection;

namespace {

constexpr std::size_t kBodyBytes = 200'000;
constexpr Milliseconds kTimeout{ 3000 };

constexpr std::int64_t kHeaderLimit = 4096;
constexpr std::int64_t kBodyLimit = 8192;
constexpr Milliseconds kRequestTime{ 300 };

CallerLimits
Limits()
{
  Reason reason;
  return CallerLimitsBuilder()
    .HeaderBytes(kHeaderLimit)
    .BodyBytes(kBodyLimit)
    .RequestTime(kRequestTime)
    .AnswerTime(kRequestTime)
    .Build(reason)
    .value();
}

/** Answers "/large" with kBodyBytes bytes at once, "/huge" with a hundred times
 * as many, "/echo" with the body, and others after a minute. */
class TestHandler
{
public:
  explicit TestHandler(asio::io_context& aContext)
    : context(&aContext)
  {
  }

  asio::awaitable<HttpAnswer> Handle(HttpRequest aRequest)
  {
    HttpAnswer answer;
    if (aRequest.target == "/large") {
      answer.body = std::string(kBodyBytes, 'x');
      co_return answer;
    }
    if (aRequest.target == "/huge") {
      answer.body = std::string(100 * kBodyBytes, 'x');
      co_return answer;
    }
    if (aRequest.target == "/echo") {
      answer.body = std::move(aRequest.body);
      co_return answer;
    }
    asio::steady_timer timer(*this->context, std::chrono::minutes(1));
    co_await timer.async_wait(asio::use_awaitable);
    co_return answer;
  }

private:
  asio::io_context* context;
};

std::string
Request(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
}

}

/** The last answer of a connection reaches its caller. */
class HttpServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(CloseWithUnreadBytesDestroysAnswer);
  CPPUNIT_TEST(UnfinishedRequestEndsWithoutAnswerInStop);
  CPPUNIT_TEST(RequestsWithinLimitsAreServedInAnyParts);
  CPPUNIT_TEST(RequestsBeyondLimitsAreRefused);
  CPPUNIT_TEST(RequestThatArrivesTooSlowlyIsClosed);
  CPPUNIT_TEST(AnswerThatIsNotReadIsClosed);
  CPPUNIT_TEST(RequestWithinTheShareIsServedWhenOthersHoldAll);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->context = std::make_unique<asio::io_context>(1);
    this->handler = std::make_unique<TestHandler>(*this->context);
    this->server = std::make_unique<HttpServer<TestHandler>>(
      *this->context, *this->handler, this->load, this->load.Limits());
    this->endpoint = harness::FreeEndpoint();
    Reason reason;
    CPPUNIT_ASSERT(this->server->Listen(this->endpoint, reason));
    this->thread = std::thread([this] { this->context->run(); });
  }

  void tearDown() override
  {
    this->context->stop();
    this->thread.join();
    this->server.reset();
    this->handler.reset();
    this->context.reset();
  }

  /** Bytes that arrive after the last request made the system reset the
   * connection at its close, with the rest of the answer unsent. */
  void CloseWithUnreadBytesDestroysAnswer()
  {
    constexpr int kReceiveBuffer = 4096;
    RawConnection caller(this->endpoint, kReceiveBuffer);
    CPPUNIT_ASSERT(caller.Send(Request("/large")));
    std::this_thread::sleep_for(Milliseconds(50));
    caller.Send("GET /next HTTP/1.1\r\n");
    CPPUNIT_ASSERT(caller.ReceiveAnswer(kTimeout));
  }

  /** A request whose handling outlasts the stop ended without an answer. */
  void UnfinishedRequestEndsWithoutAnswerInStop()
  {
    RawConnection caller(this->endpoint);
    CPPUNIT_ASSERT(caller.Send(Request("/slow")));
    std::this_thread::sleep_for(Milliseconds(50));
    const StopBudget budget(Clock::now(), Milliseconds(800));
    asio::co_spawn(*this->context, this->server->Drain(budget), asio::detached);
    CPPUNIT_ASSERT(caller.ReceiveAnswer(kTimeout));
    CPPUNIT_ASSERT(Clock::now() < budget.End());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         caller.Received().find("HTTP/1.1 504"));
  }

  /** A body with a length, one in chunks with extensions and trailers, and two
   * requests at once, each sent byte by byte and as a whole. */
  void RequestsWithinLimitsAreServedInAnyParts()
  {
    const std::string body(kBodyLimit, 'b');
    const std::string whole = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-"
                              "Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
    const std::string chunked =
      "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5;e=1\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: t\r\n\r\n";
    RawConnection caller(this->endpoint);
    for (int round = 0; round < 3; ++round) {
      CPPUNIT_ASSERT(caller.Send(whole));
      CPPUNIT_ASSERT(caller.ReceiveAnswer(kTimeout));
      CPPUNIT_ASSERT(caller.Received().ends_with(body));
      caller.Forget();
    }
    for (const char byte : chunked) {
      CPPUNIT_ASSERT(caller.Send(std::string(1, byte)));
    }
    CPPUNIT_ASSERT(caller.ReceiveAnswer(kTimeout));
    CPPUNIT_ASSERT(caller.Received().ends_with("hello world"));
    caller.Forget();
    CPPUNIT_ASSERT(caller.Send(chunked + chunked));
    caller.ReceiveFor(Milliseconds(100));
    CPPUNIT_ASSERT(caller.Received().rfind("HTTP/1.1 200") > 0);
    CPPUNIT_ASSERT(caller.IsOpen());
  }

  void RequestsBeyondLimitsAreRefused()
  {
    const std::string post = "POST /echo HTTP/1.1\r\n";
    const std::string chunks = post + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string large(kHeaderLimit + 1, 'l');
    std::string fields;
    for (int field = 0; field < 200; ++field) {
      fields += "a:\r\n";
    }
    this->CheckRefused("431", post + large);
    this->CheckRefused("431", post + fields + "\r\n");
    this->CheckRefused("431", chunks + "1\r\nx\r\n0\r\nTrailer: " + large);
    this->CheckRefused("431", chunks + "1;" + large);
    this->CheckRefused("413", post + "Content-Length: 8193\r\n\r\n");
    this->CheckRefused("413", chunks + "2001\r\n");
    this->CheckRefused("", "no request\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 },
                         this->load.CountOf(CallerRefusal::kHeaderTooLarge));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 },
                         this->load.CountOf(CallerRefusal::kBodyTooLarge));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         this->load.CountOf(CallerRefusal::kMalformed));
  }

  void RequestThatArrivesTooSlowlyIsClosed()
  {
    RawConnection caller(this->endpoint);
    // Each byte is in time for the one before it.
    const Instant end = Clock::now() + kTimeout;
    while (caller.IsOpen() && Clock::now() < end) {
      caller.Send("G");
      caller.ReceiveFor(kRequestTime / 4);
    }
    CPPUNIT_ASSERT(!caller.IsOpen());
    // The timer closes the socket before the server's read ends with an error,
    // which it counts.
    while (this->load.CountOf(CallerRefusal::kRequestTooSlow) == 0 &&
           Clock::now() < end) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 },
                         this->load.CountOf(CallerRefusal::kRequestTooSlow));
  }

  void AnswerThatIsNotReadIsClosed()
  {
    RawConnection caller(this->endpoint);
    CPPUNIT_ASSERT(caller.Send(Request("/huge")));
    const Instant end = Clock::now() + kTimeout;
    const auto isClosed = [this] {
      return this->load.CountOf(CallerRefusal::kAnswerTooSlow) == 1 &&
             this->load.OpenConnections() == 0;
    };
    while (!isClosed() && Clock::now() < end) {
      std::this_thread::sleep_for(Milliseconds(10));
    }
    CPPUNIT_ASSERT(isClosed());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, this->load.HeldBytes());
  }

  void RequestWithinTheShareIsServedWhenOthersHoldAll()
  {
    // Held by another server of the process, whose share this one has not.
    this->load.AddHeldBytes(2 * this->load.Limits().MemoryBytes());
    RawConnection caller(this->endpoint);
    CPPUNIT_ASSERT(caller.Send(Request("/large")));
    CPPUNIT_ASSERT(caller.ReceiveAnswer(kTimeout));
    CPPUNIT_ASSERT(caller.Received().starts_with("HTTP/1.1 200"));
    this->load.AddHeldBytes(-2 * this->load.Limits().MemoryBytes());
  }

private:
  void CheckRefused(const std::string& aStatus, const std::string& aRequest)
  {
    RawConnection caller(this->endpoint);
    CPPUNIT_ASSERT(caller.Send(aRequest));
    caller.ReceiveFor(kTimeout);
    CPPUNIT_ASSERT(!caller.IsOpen());
    CPPUNIT_ASSERT_EQUAL(
      aStatus.empty() ? "" : "HTTP/1.1 " + aStatus,
      caller.Received().substr(
        0, std::string("HTTP/1.1 ").size() + aStatus.size()));
  }

  CallerLoad load{ Limits() };
  std::unique_ptr<asio::io_context> context;
  std::unique_ptr<TestHandler> handler;
  std::unique_ptr<HttpServer<TestHandler>> server;
  Endpoint endpoint;
  std::thread thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}
