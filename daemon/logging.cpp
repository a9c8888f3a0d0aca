#include "daemon/logging.h"

#include "daemon/event_appender.h"
#include "machines/host_settings.h"

#include <cstdlib>
#include <log4cplus/configurator.h>
#include <log4cplus/helpers/property.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <memory>
#include <string>
#include <unistd.h>

namespace sardinecourse {

namespace {

// The level comes right after the time, so that warnings and errors are easy to
// spot.
constexpr const char* kPattern = "%D{%Y-%m-%dT%H:%M:%S.%qZ} %-5p %c %m%n";

}

void
ConfigureLogging(const HostSettings& aSettings)
{
  log4cplus::helpers::Properties properties;
  properties.setProperty("log4cplus.rootLogger",
                         aSettings.LogLevel() + ", LOG");
  if (aSettings.LogFile().empty()) {
    properties.setProperty("log4cplus.appender.LOG",
                           "log4cplus::ConsoleAppender");
    properties.setProperty("log4cplus.appender.LOG.logToStdErr", "true");
  } else {
    properties.setProperty("log4cplus.appender.LOG", "log4cplus::FileAppender");
    properties.setProperty("log4cplus.appender.LOG.File", aSettings.LogFile());
    properties.setProperty("log4cplus.appender.LOG.Append", "true");
  }
  properties.setProperty("log4cplus.appender.LOG.layout",
                         "log4cplus::PatternLayout");
  properties.setProperty("log4cplus.appender.LOG.layout.ConversionPattern",
                         kPattern);
  log4cplus::PropertyConfigurator(properties).configure();
}

void
ConfigureEventLog(const std::string& aLevel)
{
  log4cplus::SharedAppenderPtr appender(new EventAppender(STDOUT_FILENO));
  // Each line is a complete JSON object.
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  log4cplus::Logger::getRoot().addAppender(appender);
  SetLogLevel(aLevel);
}

void
FlushLogAndExit()
{
  log4cplus::Logger::getRoot().removeAllAppenders();
  // The library's shutdown waits for its thread pool, whose threads may never
  // be scheduled again; a stopping host would be killed while it waits.
  std::quick_exit(EXIT_SUCCESS);
}

void
SetLogLevel(std::string_view aLevel)
{
  const log4cplus::LogLevel level =
    log4cplus::getLogLevelManager().fromString(std::string(aLevel));
  log4cplus::Logger::getRoot().setLogLevel(level);
}

}
