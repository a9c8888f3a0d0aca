#include "links/http_answer.h"
#include "links/http_request.h"
#include "tests/harness/http_client.h"
#include "tests/harness/process.h"
#include "tests/harness/raw_connection.h"
#include "tests/harness/request_callers.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/request_rules.h"
#include "tests/harness/test_folder.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sys/stat.h>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kPhaseDuration{ 500 };
constexpr Milliseconds kMaxStopTime{ 15'000 };
constexpr int kServiceUs = 150'000;
constexpr int kUnavailable = 503;

}

/** Requests in flight complete during a planned stop, and requests during
 * startup wait for the settings. */
class ShutdownTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ShutdownTest);
  CPPUNIT_TEST(PlannedStopUnderLoadCompletesRequestsInFlight);
  CPPUNIT_TEST(PartialRequestDelaysStop);
  CPPUNIT_TEST(UnfinishedRequestDelaysStop);
  CPPUNIT_TEST(RequestDuringStartupIsServedOnceSettingsAreLoaded);
  CPPUNIT_TEST(ReloadDuringStartupDoesNotEndHost);
  CPPUNIT_TEST_SUITE_END();

public:
  void PlannedStopUnderLoadCompletesRequestsInFlight()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    History history;
    CallerMix persistentMix;
    CallerMix reconnectingMix;
    reconnectingMix.reconnect = true;
    RequestCallers persistentCallers(fleet, history, persistentMix);
    RequestCallers reconnectingCallers(fleet, history, reconnectingMix);
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      std::this_thread::sleep_for(kPhaseDuration);
      fleet.Daemon(host).Signal(SIGTERM);
      const auto exit = fleet.Daemon(host).WaitForExit(kMaxStopTime);
      CPPUNIT_ASSERT_EQUAL(0, exit.value_or(-1));
      fleet.Restart(host);
      CPPUNIT_ASSERT(fleet.WaitUntilReady(host));
    }
    persistentCallers.Stop();
    reconnectingCallers.Stop();
    const auto operations = history.Operations();
    std::cerr << OutcomesText(operations) << '\n';
    for (const Operation& operation : operations) {
      // A load balancer retries refused connections.
      CPPUNIT_ASSERT_MESSAGE(
        operation.subject + ": " + operation.outcome + " " + operation.output,
        operation.outcome == "done" || operation.outcome == "not-connected");
    }
    CPPUNIT_ASSERT_EQUAL(
      std::string(), CheckHistory(AnswersRule(fleet.Executions()), history));
    fleet.MarkPassed();
  }

  /** A caller that stopped midway in a request kept the host alive for
   * 75 s. */
  void PartialRequestDelaysStop()
  {
    RequestFleet fleet(1, 1, kServiceUs);
    RawConnection caller(fleet.Callers(0));
    CPPUNIT_ASSERT(caller.Send("PUT /services/fretdesk/work HTTP/1.1\r\nHo"));
    fleet.Daemon(0).Signal(SIGTERM);
    const auto exit = fleet.Daemon(0).WaitForExit(kMaxStopTime);
    CPPUNIT_ASSERT_EQUAL(0, exit.value_or(-1));
    fleet.MarkPassed();
  }

  /** A request at work on a minion kept the host alive until its deadline, and
   * ended without an answer when the host was killed before. */
  void UnfinishedRequestDelaysStop()
  {
    constexpr int kMinuteUs = 60'000'000;
    constexpr Milliseconds kGraceTime{ 4000 };
    RequestFleet fleet(1, 1, kMinuteUs, kGraceTime);
    RawConnection caller(fleet.Callers(0));
    CPPUNIT_ASSERT(
      caller.Send("PUT /services/fretdesk/work HTTP/1.1\r\nHost: a\r\n"
                  "Sardinecourse-Team: blue\r\n"
                  "Sardinecourse-Deadline-Ms: 60000\r\n"
                  "Content-Length: 1\r\n\r\na"));
    std::this_thread::sleep_for(kPhaseDuration);
    fleet.Daemon(0).Signal(SIGTERM);
    const bool isAnswered = caller.ReceiveAnswer(kGraceTime);
    CPPUNIT_ASSERT_MESSAGE(caller.Received(), isAnswered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         caller.Received().find("HTTP/1.1 504"));
    const auto exit = fleet.Daemon(0).WaitForExit(Milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(0, exit.value_or(-1));
    fleet.MarkPassed();
  }

  void RequestDuringStartupIsServedOnceSettingsAreLoaded()
  {
    RequestFleet fleet(1, 1, kServiceUs);
    fleet.Daemon(0).Signal(SIGTERM);
    CPPUNIT_ASSERT(fleet.Daemon(0).WaitForExit(kMaxStopTime).has_value());
    // The delay makes the host listen long before it has loaded its settings.
    CPPUNIT_ASSERT(fleet.SetPlatformFaults(R"({"slow_ms": 400})"));
    fleet.Restart(0);
    CPPUNIT_ASSERT(
      WaitForHttp(fleet.Callers(0), "/readyz", kUnavailable, kMaxStopTime));
    HttpRequest request;
    request.method = "PUT";
    request.target = "/services/fretdesk/work";
    request.body = "early";
    request.fields.Add("Sardinecourse-Team", "blue");
    request.fields.Add("Sardinecourse-Deadline-Ms", "8000");
    HttpClient client(fleet.Callers(0));
    const auto answer = client.Call(request, kMaxStopTime);
    CPPUNIT_ASSERT(answer.has_value());
    const std::string outcome(answer->fields.Find("Sardinecourse-Outcome"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer->body, std::string("done"), outcome);
    fleet.MarkPassed();
  }

  /** SIGHUP ends a process that has not set its action yet. The pipe holds the
   * process while it reads its settings. */
  void ReloadDuringStartupDoesNotEndHost()
  {
    TestFolder folder;
    const std::string settings = folder.File("settings.yaml");
    CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(settings.c_str(), S_IRUSR | S_IWUSR));
    Process daemon("sardinecoursed",
                   { "--check", "--settings", settings },
                   folder.File("host.log"));
    {
      // Opening the pipe waits until the process reads from it.
      std::ofstream pipe(settings);
      daemon.Signal(SIGHUP);
      pipe << "name: a\ndata_centre: z\ncallers: 127.0.0.1:1\n"
              "readiness: 127.0.0.1:2\nmetrics: 127.0.0.1:3\n"
              "store: 127.0.0.1:4\n";
    }
    CPPUNIT_ASSERT_EQUAL(0, daemon.WaitForExit(kMaxStopTime).value_or(-1));
    folder.MarkPassed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

}
