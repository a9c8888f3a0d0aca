#pragma once

#include "tool/host_event.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse {

class Reason;

/** Appends the events of a log to aEvents. Their host is that of the section,
 * in a record of several logs, or the word before the event. Otherwise it is
 * taken from the log's "started" event, or else it is aName. Lines that are not
 * events are skipped; returns how many non-empty ones. */
std::size_t
ReadEvents(std::istream& aFrom,
           const std::string& aName,
           std::vector<HostEvent>& aEvents);

/** Merges the events of several hosts' logs by the wall clock of each host;
 * reads standard input when aFiles is empty. Empty, with a reason, when a file
 * cannot be opened. */
std::optional<std::vector<HostEvent>>
ReadEventFiles(const std::vector<std::string>& aFiles, Reason& aReason);

}
