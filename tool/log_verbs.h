#pragma once

#include "tool/exit_code.h"

#include <string>
#include <vector>

namespace sardinecourse {

class CommonOptions;

/** Runs "logs", which prints the events of several hosts' logs in order of
 * time. */
ExitCode
RunLogVerb(int aCount, const char** aArguments);

/** Prints the timeline of a job and the causes found in it, from log files or,
 * when aFiles is empty, from standard input. */
ExitCode
ExplainFromLogs(const CommonOptions& aOptions,
                const std::string& aJob,
                const std::vector<std::string>& aFiles);

}
