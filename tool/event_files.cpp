#include "tool/event_files.h"

#include "codecs/logged_event_json.h"
#include "core/reason.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <string_view>
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

/** A line of a log, without what a collector of several logs adds to it. */
struct CollectedLine
{
  /** The host of the events that follow, if the line is the title of a
   * section: "== Log of HOST (remark)". */
  std::optional<std::string> sectionHost;
  /** The word before the event; empty if there is none. */
  std::string host;
  std::string event;
};

CollectedLine
SplitLine(const std::string& aLine)
{
  constexpr std::string_view kTitle = "== Log of ";
  CollectedLine line;
  const std::size_t title = aLine.find(kTitle);
  if (title != std::string::npos) {
    line.sectionHost = aLine.substr(title + kTitle.size());
    line.sectionHost->resize(
      std::min(line.sectionHost->find(' '), line.sectionHost->size()));
    return line;
  }
  const std::size_t begin = aLine.find('{');
  if (begin == std::string::npos) {
    line.event = aLine;
    return line;
  }
  line.event = aLine.substr(begin);
  std::istringstream words(aLine.substr(0, begin));
  for (std::string word; words >> word;) {
    line.host = word == ">" ? std::string() : word;
  }
  return line;
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
  std::string fileHost = aName;
  std::optional<std::string> sectionHost;
  std::set<std::pair<std::string, std::string>> linesOfSections;
  std::size_t skipped = 0;
  std::string text;
  while (std::getline(aFrom, text)) {
    const CollectedLine collected = SplitLine(text);
    if (collected.sectionHost) {
      sectionHost = collected.sectionHost;
      continue;
    }
    Reason reason;
    std::optional<LoggedEvent> event =
      DecodeLoggedEvent(collected.event, reason);
    if (!event) {
      skipped += text.empty() ? 0 : 1;
      continue;
    }
    // A record may have the same section more than once.
    if (sectionHost &&
        !linesOfSections.emplace(*sectionHost, collected.event).second) {
      continue;
    }
    if (event->event == "started") {
      fileHost = event->Text("host");
    }
    aEvents.push_back({ std::move(*event),
                        sectionHost.value_or(collected.host),
                        collected.event });
  }
  for (std::size_t index = first; index < aEvents.size(); ++index) {
    if (aEvents[index].host.empty()) {
      aEvents[index].host = fileHost;
    }
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
