#pragma once

#include "core/instant.h"

#include <optional>
#include <string>

namespace sardinecourse {

class HostSettings;
class Reason;
class YamlReader;

/** Decodes the settings of an entry host's daemon; empty, with file, line and
 * key of the first error in the reason, when they are invalid. */
std::optional<HostSettings>
DecodeHostSettings(const std::string& aText,
                   const std::string& aFile,
                   Reason& aReason);

/** Reads "log_level", which the settings of every kind of host have; INFO when
 * it is absent. An unknown level is recorded as an error in the reader. */
std::string
ReadLogLevel(YamlReader& aReader);

/** Reads "grace_s", the seconds from SIGTERM until the process is killed;
 * aDefault when it is absent. */
Milliseconds
ReadGraceTime(YamlReader& aReader, Milliseconds aDefault);

}
