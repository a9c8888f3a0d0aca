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
constexpr std::int64_t kMillisPerSecond = 1000;

/** Filters of "logs"; an empty one matches every event. */
struct LogFilters
{
  const char* job = "";
  const char* worker = "";
  const char* event = "";
};

bool
MatchesFilters(const LogFilters& aFilters, const LoggedEvent& aEvent)
{
  const auto matches = [](const std::string& aFilter,
                          const std::string& aValue) {
    return aFilter.empty() || aFilter == aValue;
  };
  return matches(aFilters.job, aEvent.Text("job")) &&
         matches(aFilters.worker, aEvent.Text("worker")) &&
         matches(aFilters.event, aEvent.event);
}

void
PrintTime(Milliseconds aAt)
{
  const auto seconds = static_cast<std::time_t>(aAt.count() / kMillisPerSecond);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::cout << std::put_time(&parts, "%H:%M:%S") << '.' << std::setw(3)
            << std::setfill('0') << aAt.count() % kMillisPerSecond;
}

void
PrintEvent(const HostEvent& aEvent)
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
  LogFilters filters;
  const poptOption table[] = { { "job",
                                 0,
                                 POPT_ARG_STRING,
                                 &filters.job,
                                 0,
                                 "Only events of this job",
                                 "KEY" },
                               { "worker",
                                 0,
                                 POPT_ARG_STRING,
                                 &filters.worker,
                                 0,
                                 "Only events of this worker",
                                 "NAME" },
                               { "event",
                                 0,
                                 POPT_ARG_STRING,
                                 &filters.event,
                                 0,
                                 "Only events of this name",
                                 "NAME" },
                               { nullptr,
                                 0,
                                 POPT_ARG_INCLUDE_TABLE,
                                 const_cast<poptOption*>(common.Table()),
                                 0,
                                 "Options of all verbs",
                                 nullptr },
                               POPT_AUTOHELP POPT_TABLEEND };
  auto arguments = ParseVerb(aCount, aArguments, table, kHelp);
  if (!arguments || arguments->empty()) {
    std::cerr << "usage: sardinecourse " << kHelp << '\n';
    return ExitCode::kUsage;
  }
  arguments->erase(arguments->begin());
  Reason reason;
  const auto events = ReadEventFiles(*arguments, reason);
  if (!events) {
    return PrintFailure(common, "usage", reason, ExitCode::kUsage);
  }
  bool hasMatch = false;
  for (const HostEvent& event : *events) {
    if (!MatchesFilters(filters, event.event)) {
      continue;
    }
    hasMatch = true;
    if (common.IsJson()) {
      std::cout << event.line << '\n';
    } else {
      PrintEvent(event);
    }
  }
  return hasMatch ? ExitCode::kOk : ExitCode::kRefused;
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
  const std::vector<HostEvent> timeline = EventsOfJob(*events, aJob);
  if (timeline.empty()) {
    reason =
      Reason(Step::kDecode, aJob, "the logs contain no event of this job");
    return PrintFailure(aOptions, "unknown", reason, ExitCode::kRefused);
  }
  for (const HostEvent& event : timeline) {
    if (aOptions.IsJson()) {
      std::cout << event.line << '\n';
    } else {
      PrintEvent(event);
    }
  }
  if (!aOptions.IsJson()) {
    for (const std::string& cause : FindCauses(*events, aJob)) {
      std::cout << "cause: " << cause << '\n';
    }
    for (const std::string& gap : FindGaps(*events, aJob)) {
      std::cout << "not in these logs: " << gap << '\n';
    }
  }
  return ExitCode::kOk;
}

}
