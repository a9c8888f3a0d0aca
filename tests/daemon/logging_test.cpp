#include "daemon/logging.h"

#include "core/instant.h"
#include "tests/harness/wait.h"

#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/configurator.h>
#include <log4cplus/initializer.h>
#include <optional>
#include <sys/wait.h>
#include <unistd.h>

namespace sardinecourse {

namespace {

/** What remains of the platform's grace period when a host ends its process. */
constexpr Milliseconds kEndBound{ 2000 };

/** Exit status of a child; kills it and returns nothing when it does not end in
 * time. */
std::optional<int>
AwaitEnd(pid_t aChild)
{
  int status = 0;
  const bool hasEnded = harness::WaitUntil(kEndBound, [aChild, &status] {
    return ::waitpid(aChild, &status, WNOHANG) == aChild;
  });
  if (hasEnded) {
    return status;
  }
  ::kill(aChild, SIGKILL);
  ::waitpid(aChild, nullptr, 0);
  return std::nullopt;
}

}

/** Guards against a process whose end waits for the logging library. */
class LoggingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoggingTest);
  CPPUNIT_TEST(PlannedStopEndsWhenLogThreadsAreNotScheduled);
  CPPUNIT_TEST_SUITE_END();

public:
  /** In rolling stops, hosts were killed at the end of their grace period
   * because the library's shutdown waited for pool threads that were no longer
   * scheduled. A forked child reproduces this, since it has none of its
   * parent's threads. */
  void PlannedStopEndsWhenLogThreadsAreNotScheduled()
  {
    const log4cplus::Initializer logging;
    log4cplus::setThreadPoolSize(2);
    const pid_t child = ::fork();
    CPPUNIT_ASSERT(child >= 0);
    if (child == 0) {
      FlushLogAndExit();
    }
    const std::optional<int> status = AwaitEnd(child);
    CPPUNIT_ASSERT_MESSAGE("the process did not end", status.has_value());
    CPPUNIT_ASSERT(WIFEXITED(*status));
    CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(*status));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);

}
