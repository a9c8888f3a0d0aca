#include "tool/event_files.h"

#include "codecs/logged_event_json.h"
#include "core/reason.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

namespace sardinecourse {

namespace {

void
SortByTime(std::vector<HostEvent>& aEvents)
{
  // Stable, so that events of one host with the same millisecond keep their
  // order.
  std::stable_sort(aEvents.begin(),
                   aEvents.end(),
                   [](const HostEvent& aFirst, const HostEvent& aSecond) {
                     return aFirst.event.at < aSecond.event.at;
                   });
}

void
ReportSkippedLines(const std::string& aName, std::size_t aLines)
{
  if (aLines > 0) {
    std::cerr << aName << ": skipped " << aLines
              << " lines that are not events\n";
  }
}

}

std::size_t
ReadEvents(std::istream& aFrom,
           const std::string& aName,
           std::vector<HostEvent>& aEvents)
{
  const std::size_t first = aEvents.size();
  std::string host = aName;
  std::size_t skipped = 0;
  std::string line;
  while (std::getline(aFrom, line)) {
    Reason reason;
    std::optional<LoggedEvent> event = DecodeLoggedEvent(line, reason);
    if (!event) {
      skipped += line.empty() ? 0 : 1;
      continue;
    }
    if (event->event == "started") {
      host = event->Text("host");
    }
    aEvents.push_back({ std::move(*event), {}, line });
  }
  for (std::size_t index = first; index < aEvents.size(); ++index) {
    aEvents[index].host = host;
  }
  return skipped;
}

std::optional<std::vector<HostEvent>>
ReadEventFiles(const std::vector<std::string>& aFiles, Reason& aReason)
{
  std::vector<HostEvent> events;
  if (aFiles.empty()) {
    ReportSkippedLines("-", ReadEvents(std::cin, "-", events));
  }
  for (const std::string& file : aFiles) {
    std::ifstream stream(file);
    if (!stream) {
      aReason = Reason(Step::kDecode, file, "the log cannot be opened");
      return std::nullopt;
    }
    const std::string stem = std::filesystem::path(file).stem().string();
    ReportSkippedLines(file, ReadEvents(stream, stem, events));
  }
  SortByTime(events);
  return events;
}

}
