#pragma once

#include <string_view>

namespace sardinecourse {

class HostSettings;

/** Sends the log where a host's own settings say, at their level. */
void
ConfigureLogging(const HostSettings& aSettings);

/** Sets the least level that is logged, once the fleet's settings are known. */
void
SetLogLevel(std::string_view aLevel);

}
