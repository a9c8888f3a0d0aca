#include "tool/log_verbs.h"

#include "core/reason.h"
#include "tool/common_options.h"
#include "tool/event_files.h"
#include "tool/job_timeline.h"
#include "tool/printing.h"
#include "tool/verb_arguments.h"

#include <algorithm>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <utility>

namespace sardinecourse {

namespace {

constexpr const char* kHelp =
  "logs [--job KEY] [--worker NAME] [--event NAME] [FILE ...]";
constexpr std::int64_t kMillis = 1000;

/** What the command line says beside the files. */
struct LogOptions
{
  const char* job = "";
  const char* worker = "";
  const char* event = "";
};

bool
IsWanted(const LogOptions& aOptions, const LoggedEvent& aEvent)
{
  const auto fits = [](const std::string& aWanted, const std::string& aValue) {
    return aWanted.empty() || aWanted == aValue;
  };
  return fits(aOptions.job, aEvent.Text("job")) &&
         fits(aOptions.worker, aEvent.Text("worker")) &&
         fits(aOptions.event, aEvent.event);
}

void
PrintTime(Milliseconds aAt)
{
  const auto seconds = static_cast<std::time_t>(aAt.count() / kMillis);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::cout << std::put_time(&parts, "%H:%M:%S") << '.' << std::setw(3)
            << std::setfill('0') << aAt.count() % kMillis;
}

void
PrintSentence(const HostEvent& aEvent)
{
  PrintTime(aEvent.event.at);
  std::cout << ' ' << aEvent.host << ": " << DescribeEvent(aEvent.event)
            << '\n';
}

}

ExitCode
RunLogVerb(int aCount, const char** aArguments)
{
  CommonOptions common;
  LogOptions options;
  const poptOption table[] = {
    { "job", 0, POPT_ARG_STRING, &options.job, 0, "Of this job", "KEY" },
    { "worker", 0, POPT_ARG_STRING, &options.worker, 0, "Of this one", "NAME" },
    { "event", 0, POPT_ARG_STRING, &options.event, 0, "Of this kind", "NAME" },
    { nullptr,
      0,
      POPT_ARG_INCLUDE_TABLE,
      const_cast<poptOption*>(common.Table()),
      0,
      "Options of all verbs",
      nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  auto words = ParseVerb(aCount, aArguments, table, kHelp);
  if (!words || words->empty()) {
    std::cerr << "usage: sardinecourse " << kHelp << '\n';
    return ExitCode::kUsage;
  }
  words->erase(words->begin());
  Reason reason;
  const auto events = ReadEventFiles(*words, reason);
  if (!events) {
    return PrintFailure(common, "usage", reason, ExitCode::kUsage);
  }
  bool isAny = false;
  for (const HostEvent& event : *events) {
    if (!IsWanted(options, event.event)) {
      continue;
    }
    isAny = true;
    if (common.IsJson()) {
      std::cout << event.line << '\n';
    } else {
      PrintSentence(event);
    }
  }
  return isAny ? ExitCode::kOk : ExitCode::kRefused;
}

ExitCode
ExplainFromLogs(const CommonOptions& aOptions,
                const std::string& aJob,
                const std::vector<std::string>& aFiles)
{
  Reason reason;
  const auto events = ReadEventFiles(aFiles, reason);
  if (!events) {
    return PrintFailure(aOptions, "usage", reason, ExitCode::kUsage);
  }
  const std::vector<HostEvent> story = EventsOfJob(*events, aJob);
  if (story.empty()) {
    reason = Reason(Step::kDecode, aJob, "the logs do not name this job");
    return PrintFailure(aOptions, "unknown", reason, ExitCode::kRefused);
  }
  for (const HostEvent& event : story) {
    if (aOptions.IsJson()) {
      std::cout << event.line << '\n';
    } else {
      PrintSentence(event);
    }
  }
  if (!aOptions.IsJson()) {
    for (const std::string& cause : FindCauses(*events, aJob)) {
      std::cout << "cause: " << cause << '\n';
    }
  }
  return ExitCode::kOk;
}

}
