#include "links/http_server.h"

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

/** Answers "/large" with kBodyBytes bytes at once, others after a minute. */
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
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->context = std::make_unique<asio::io_context>(1);
    this->handler = std::make_unique<TestHandler>(*this->context);
    this->server =
      std::make_unique<HttpServer<TestHandler>>(*this->context, *this->handler);
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

private:
  std::unique_ptr<asio::io_context> context;
  std::unique_ptr<TestHandler> handler;
  std::unique_ptr<HttpServer<TestHandler>> server;
  Endpoint endpoint;
  std::thread thread;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}
