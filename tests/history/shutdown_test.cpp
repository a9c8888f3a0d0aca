#include "tests/harness/request_callers.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/request_rules.h"

#include <cppunit/extensions/HelperMacros.h>
#include <csignal>
#include <iostream>
#include <thread>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kStep{ 500 };
constexpr Milliseconds kStopBound{ 15'000 };
constexpr int kServiceUs = 150'000;

}

/** A planned stop cuts off no request in flight. */
class ShutdownTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ShutdownTest);
  CPPUNIT_TEST(EachDaemonInTurnStopsUnderLoadAndCutsNothingOff);
  CPPUNIT_TEST_SUITE_END();

public:
  void EachDaemonInTurnStopsUnderLoadAndCutsNothingOff()
  {
    RequestFleet fleet(2, 4, kServiceUs);
    History history;
    CallerMix kept;
    CallerMix fresh;
    fresh.reconnect = true;
    RequestCallers keepers(fleet, history, kept);
    RequestCallers openers(fleet, history, fresh);
    for (std::size_t host = 0; host < fleet.Hosts(); ++host) {
      std::this_thread::sleep_for(kStep);
      fleet.Daemon(host).Signal(SIGTERM);
      const auto exit = fleet.Daemon(host).WaitForExit(kStopBound);
      CPPUNIT_ASSERT_EQUAL(0, exit.value_or(-1));
      fleet.Restart(host);
      CPPUNIT_ASSERT(fleet.WaitUntilReady(host));
    }
    keepers.Stop();
    openers.Stop();
    const auto operations = history.Operations();
    std::cerr << OutcomesText(operations) << '\n';
    for (const Operation& operation : operations) {
      // Refused connections are the balancer's to retry.
      CPPUNIT_ASSERT_MESSAGE(
        operation.subject + ": " + operation.outcome + " " + operation.output,
        operation.outcome == "done" || operation.outcome == "not-connected");
    }
    CPPUNIT_ASSERT_EQUAL(
      std::string(), CheckHistory(AnswersRule(fleet.Executions()), history));
    fleet.Passed();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ShutdownTest);

}
