#pragma once

#include <string>
#include <string_view>

namespace sardinecourse {

class HostSettings;

/** Configures the destination and level of the log from a host's settings. */
void
ConfigureLogging(const HostSettings& aSettings);

/** Writes log events as JSON lines to standard output, from level aLevel up. */
void
ConfigureEventLog(const std::string& aLevel);

/** Flushes the log and ends the process with a successful status. All threads
 * of the daemon must have ended. */
[[noreturn]] void
FlushLogAndExit();

/** Sets the lowest level that is logged, such as "INFO". */
void
SetLogLevel(std::string_view aLevel);

}
