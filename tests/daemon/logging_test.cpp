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

/** A host that stops has this much of the platform's grace left. */
constexpr Milliseconds kEndBound{ 2000 };

/** Status of a child that ended in time. */
std::optional<int>
AwaitEnd(pid_t aChild)
{
  int status = 0;
  const bool isOver = harness::WaitUntil(kEndBound, [aChild, &status] {
    return ::waitpid(aChild, &status, WNOHANG) == aChild;
  });
  if (isOver) {
    return status;
  }
  ::kill(aChild, SIGKILL);
  ::waitpid(aChild, nullptr, 0);
  return std::nullopt;
}

}

/** The end of a process does not depend on the log. */
class LoggingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoggingTest);
  CPPUNIT_TEST(APlannedStopEndsThoughTheLogsThreadsAreGone);
  CPPUNIT_TEST_SUITE_END();

public:
  /** Rolling stops were killed at the end of their grace, as the library waited
   * for threads that were not scheduled any more. A child process has none of
   * its parent's threads. */
  void APlannedStopEndsThoughTheLogsThreadsAreGone()
  {
    const log4cplus::Initializer logging;
    log4cplus::setThreadPoolSize(2);
    const pid_t child = ::fork();
    CPPUNIT_ASSERT(child >= 0);
    if (child == 0) {
      EndAfterStop();
    }
    const std::optional<int> status = AwaitEnd(child);
    CPPUNIT_ASSERT_MESSAGE("the process did not end", status.has_value());
    CPPUNIT_ASSERT(WIFEXITED(*status));
    CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(*status));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoggingTest);

}
