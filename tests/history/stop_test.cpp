#include "tests/harness/raw_connection.h"
#include "tests/harness/site_deployment.h"
#include "tests/harness/wait.h"

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <deque>
#include <iostream>
#include <thread>
#include <vector>

namespace sardinecourse::harness {

namespace {

/** Time from SIGTERM to SIGKILL on the platform. */
constexpr Milliseconds kGraceTime{ 6000 };
/** A connection that ends without an answer later than this after the last byte
 * of its request has lost the request. */
constexpr Milliseconds kLossSlack{ 200 };
constexpr Milliseconds kAnswerTimeout{ 8000 };
constexpr Milliseconds kAfterSignal{ 1000 };

/** One host that is stopped as the platform stops it. */
class StoppedHost
{
public:
  StoppedHost()
    : site(1, 1)
  {
    CPPUNIT_ASSERT(this->site.WaitUntilReady(0));
  }

  SiteDeployment& Site() { return this->site; }
  const Endpoint& Callers() const { return this->site.Callers(0); }

  /** Head of a request to the host; aBodyBytes of a body must follow. */
  std::string Head(const std::string& aMethod,
                   const std::string& aPath,
                   std::size_t aBodyBytes) const
  {
    return aMethod + " " + aPath +
           " HTTP/1.1\r\nHost: " + this->Callers().Ip() +
           "\r\nApi-Key: k1\r\nX-Deadline-Remaining: 3000\r\n"
           "Content-Length: " +
           std::to_string(aBodyBytes) + "\r\n\r\n";
  }

  void Stop()
  {
    this->stoppedAt = Clock::now();
    this->site.Daemon(0).Signal(SIGTERM);
  }

  void SleepUntil(Milliseconds aAfterSignal) const
  {
    std::this_thread::sleep_for(this->stoppedAt + aAfterSignal - Clock::now());
  }

  /** Kills the host at the end of the grace time; true if it has ended by
   * itself before. */
  bool EndsInTime()
  {
    const auto left = std::chrono::duration_cast<Milliseconds>(
      this->stoppedAt + kGraceTime - Clock::now());
    const auto exit = this->site.Daemon(0).WaitForExit(left);
    std::cerr << "ended after "
              << std::chrono::duration_cast<Milliseconds>(Clock::now() -
                                                          this->stoppedAt)
                   .count()
              << " ms, exit " << exit.value_or(-1) << '\n';
    this->site.Daemon(0).Kill();
    return exit == 0;
  }

private:
  SiteDeployment site;
  Instant stoppedAt;
};

}

/** A host ends by itself within its grace time, whatever its callers do, and
 * answers what it has read. */
class StopTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StopTest);
  CPPUNIT_TEST(IdleConnectionsOpenedDuringStopDelayIt);
  CPPUNIT_TEST(PartialRequestsDelayStop);
  CPPUNIT_TEST(UnreadAnswersDelayStop);
  CPPUNIT_TEST(UnresponsiveStoreDelaysStop);
  CPPUNIT_TEST(RequestCompletedLateIsLostAtEndOfGraceTime);
  CPPUNIT_TEST(RequestOnOpenConnectionIsLostDuringStop);
  CPPUNIT_TEST(PipelinedRequestIsLostDuringStop);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Clients and balancers open connections ahead. Those that were accepted a
   * moment before the drain kept the host alive for 5 s. */
  void IdleConnectionsOpenedDuringStopDelayIt()
  {
    StoppedHost host;
    std::atomic<bool> isOver = false;
    constexpr int kOpeners = 8;
    std::vector<std::thread> openers;
    openers.reserve(kOpeners);
    for (int opener = 0; opener < kOpeners; ++opener) {
      openers.emplace_back([&host, &isOver] {
        constexpr std::size_t kMaxOpen = 100;
        std::deque<RawConnection> open;
        while (!isOver) {
          open.emplace_back(host.Callers());
          if (!open.back().IsOpen()) {
            open.pop_back();
            std::this_thread::sleep_for(Milliseconds(1));
          } else if (open.size() > kMaxOpen) {
            open.pop_front();
          }
        }
      });
    }
    std::this_thread::sleep_for(Milliseconds(200));
    host.Stop();
    const bool endsInTime = host.EndsInTime();
    isOver = true;
    for (std::thread& opener : openers) {
      opener.join();
    }
    CPPUNIT_ASSERT(endsInTime);
    host.Site().MarkPassed();
  }

  /** A client that stops midway in a head or a body kept the host alive for
   * 75 s. */
  void PartialRequestsDelayStop()
  {
    StoppedHost host;
    std::vector<RawConnection> open;
    const auto openPartial = [&open, &host] {
      open.emplace_back(host.Callers());
      CPPUNIT_ASSERT(open.back().Send("GET /one/a HTTP/1.1\r\nHo"));
      open.emplace_back(host.Callers());
      CPPUNIT_ASSERT(open.back().Send(host.Head("POST", "/one/a", 100) + "{"));
    };
    openPartial();
    host.Stop();
    host.SleepUntil(kAfterSignal);
    openPartial();
    CPPUNIT_ASSERT(host.EndsInTime());
    host.Site().MarkPassed();
  }

  /** Answers that a caller does not read kept the host alive for 75 s. */
  void UnreadAnswersDelayStop()
  {
    StoppedHost host;
    constexpr int kReceiveBuffer = 4096;
    constexpr int kRequests = 200'000;
    RawConnection caller(host.Callers(), kReceiveBuffer);
    std::string requests;
    for (int request = 0; request < kRequests; ++request) {
      requests += "GET /two/ HTTP/1.1\r\nHost: site\r\n\r\n";
    }
    // The rest stays unsent once the host waits for its answers to be read.
    const std::size_t sent = caller.SendFor(requests, Milliseconds(3000));
    CPPUNIT_ASSERT(sent < requests.size());
    host.Stop();
    CPPUNIT_ASSERT(host.EndsInTime());
    host.Site().MarkPassed();
  }

  /** The release of the domain's lease, which is tried several times, preceded
   * the other steps of the stop. */
  void UnresponsiveStoreDelaysStop()
  {
    StoppedHost host;
    CPPUNIT_ASSERT(WaitUntil(
      kGraceTime, [&host] { return host.Site().Holder().has_value(); }));
    host.Site().StoreLink(0).Set(RelayMode::kBlackhole);
    host.Stop();
    CPPUNIT_ASSERT(host.EndsInTime());
    host.Site().MarkPassed();
  }

  /** A host that outlives its grace time is killed with the requests that it
   * has read by then. */
  void RequestCompletedLateIsLostAtEndOfGraceTime()
  {
    StoppedHost host;
    const std::string body = SiteDeployment::JobBody(1, 100);
    RawConnection caller(host.Callers());
    CPPUNIT_ASSERT(caller.Send(host.Head("POST", "/one/late", body.size()) +
                               body.substr(0, body.size() - 1)));
    host.Stop();
    host.SleepUntil(kGraceTime - Milliseconds(450));
    host.Site().StoreLink(0).SetDelay(Milliseconds(250));
    const bool isSent = caller.Send(body.substr(body.size() - 1));
    const Instant sentAt = Clock::now();
    std::atomic<bool> isInTime = false;
    std::thread killer([&host, &isInTime] { isInTime = host.EndsInTime(); });
    const bool isAnswered = caller.ReceiveAnswer(kAnswerTimeout);
    const auto took = Clock::now() - sentAt;
    killer.join();
    CPPUNIT_ASSERT(isAnswered || !isSent || took <= kLossSlack);
    CPPUNIT_ASSERT(isInTime);
    host.Site().MarkPassed();
  }

  /** Requests that are sent on open connections right up to their end. */
  void RequestOnOpenConnectionIsLostDuringStop()
  {
    StoppedHost host;
    host.Site().StoreLink(0).SetDelay(Milliseconds(120));
    std::atomic<int> answered = 0;
    std::atomic<int> lost = 0;
    std::atomic<bool> isOver = false;
    constexpr int kCallers = 8;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&] {
        const std::string request = host.Head("GET", "/one/none", 0);
        while (!isOver) {
          RawConnection connection(host.Callers());
          while (!isOver && connection.IsOpen() && connection.Send(request)) {
            const Instant sentAt = Clock::now();
            if (connection.ReceiveAnswer(kAnswerTimeout)) {
              ++answered;
              connection.Forget();
            } else if (Clock::now() - sentAt > kLossSlack) {
              ++lost;
            }
          }
          std::this_thread::sleep_for(Milliseconds(5));
        }
      });
    }
    std::this_thread::sleep_for(Milliseconds(500));
    host.Stop();
    const bool endsInTime = host.EndsInTime();
    isOver = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
    std::cerr << answered << " answered, " << lost << " lost\n";
    CPPUNIT_ASSERT(endsInTime);
    CPPUNIT_ASSERT(answered > 0);
    CPPUNIT_ASSERT_EQUAL(0, lost.load());
    host.Site().MarkPassed();
  }

  /** The host closed a connection after an answer although it had read the next
   * request with the answered one. */
  void PipelinedRequestIsLostDuringStop()
  {
    StoppedHost host;
    host.Site().StoreLink(0).SetDelay(Milliseconds(100));
    host.Stop();
    host.SleepUntil(kAfterSignal);
    RawConnection caller(host.Callers());
    const std::string request = host.Head("GET", "/one/none", 0);
    CPPUNIT_ASSERT(caller.Send(request + request));
    caller.ReceiveFor(kAnswerTimeout);
    const std::string& answers = caller.Received();
    constexpr std::string_view kStatus = "HTTP/1.1 410";
    const std::size_t first = answers.find(kStatus);
    CPPUNIT_ASSERT_MESSAGE(answers, first != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(
      answers, answers.find(kStatus, first + 1) != std::string::npos);
    CPPUNIT_ASSERT(host.EndsInTime());
    host.Site().MarkPassed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopTest);

}
