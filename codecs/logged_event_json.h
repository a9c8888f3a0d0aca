#pragma once

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
struct LoggedEvent;

/** Encodes an event as a line of the log, without the line feed: a JSON object
 * that starts with "at_ms" (Unix milliseconds) and "event". */
std::string
EncodeLoggedEvent(const LoggedEvent& aEvent);

/** Empty, with the reason, for a line that is not an event. */
std::optional<LoggedEvent>
DecodeLoggedEvent(const std::string& aLine, Reason& aReason);

}
