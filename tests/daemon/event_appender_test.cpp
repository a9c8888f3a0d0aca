#include "daemon/event_appender.h"

#include "codecs/logged_event_json.h"
#include "contracts/logged_event.h"
#include "core/instant.h"
#include "core/reason.h"

#include <cppunit/extensions/HelperMacros.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>

namespace sardinecourse {

namespace {

constexpr int kFloodLines = 50'000;
/** Far less than the lines would take if each waited for the reader. */
constexpr Milliseconds kFloodBound{ 5000 };

}

/** Guards against logging that blocks its callers, or loses lines without a
 * report, when the reader of the log stalls. */
class EventAppenderTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventAppenderTest);
  CPPUNIT_TEST(LoggingDoesNotBlockWhenReaderStalls);
  CPPUNIT_TEST(LinesArriveInOrder);
  CPPUNIT_TEST(DroppedLinesAreReportedInEvent);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    CPPUNIT_ASSERT_EQUAL(0, ::pipe(this->ends));
    this->appender = new EventAppender(this->ends[1]);
    this->appender->setLayout(
      std::make_unique<log4cplus::PatternLayout>("%m%n"));
    this->logger.removeAllAppenders();
    this->logger.setAdditivity(false);
    this->logger.addAppender(log4cplus::SharedAppenderPtr(this->appender));
    this->logger.setLogLevel(log4cplus::INFO_LOG_LEVEL);
  }

  void tearDown() override
  {
    this->logger.removeAllAppenders();
    ::close(this->ends[0]);
    ::close(this->ends[1]);
  }

  void LoggingDoesNotBlockWhenReaderStalls()
  {
    const Instant started = Clock::now();
    const std::string text(100, 'x');
    for (int line = 0; line < kFloodLines; ++line) {
      LOG4CPLUS_INFO(this->logger, text);
    }
    CPPUNIT_ASSERT(Clock::now() < started + kFloodBound);
    CPPUNIT_ASSERT(this->appender->Dropped() > 0);
  }

  void LinesArriveInOrder()
  {
    LOG4CPLUS_INFO(this->logger, "first");
    LOG4CPLUS_INFO(this->logger, "second");
    std::string read(32, '\0');
    const std::string expected = "first\nsecond\n";
    std::size_t length = 0;
    while (length < expected.size()) {
      const ssize_t count =
        ::read(this->ends[0], read.data() + length, read.size() - length);
      CPPUNIT_ASSERT(count > 0);
      length += static_cast<std::size_t>(count);
    }
    CPPUNIT_ASSERT_EQUAL(expected, read.substr(0, length));
  }

  void DroppedLinesAreReportedInEvent()
  {
    const std::string text(100, 'x');
    for (int line = 0; line < kFloodLines; ++line) {
      LOG4CPLUS_INFO(this->logger, text);
    }
    const auto lost = static_cast<std::int64_t>(this->appender->Dropped());
    CPPUNIT_ASSERT(lost > 0);
    // Lines dropped while an earlier batch is written are reported with the
    // next batch.
    std::int64_t reported = 0;
    while (reported < lost) {
      Reason reason;
      const auto event = DecodeLoggedEvent(this->ReadLine(), reason);
      if (event) {
        CPPUNIT_ASSERT_EQUAL(std::string("log_dropped"), event->event);
        CPPUNIT_ASSERT(event->at > Milliseconds(0));
        reported += event->Number("lines");
      }
    }
    CPPUNIT_ASSERT_EQUAL(lost, reported);
  }

private:
  /** Reads the next line of the log, without the line break. */
  std::string ReadLine()
  {
    std::string line;
    char next = 0;
    while (true) {
      CPPUNIT_ASSERT_EQUAL(ssize_t{ 1 }, ::read(this->ends[0], &next, 1));
      if (next == '\n') {
        return line;
      }
      line += next;
    }
  }

  log4cplus::Initializer initializer;
  log4cplus::Logger logger = log4cplus::Logger::getInstance("appender_test");
  EventAppender* appender = nullptr;
  int ends[2] = { -1, -1 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventAppenderTest);

}
