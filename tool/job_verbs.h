#pragma once

#include "tool/exit_code.h"

namespace sardinecourse {

/** Runs "job submit | show | list | wait | cancel". */
ExitCode
RunJobVerbs(int aCount, const char** aArguments);

/** Runs "explain TEAM KEY", which prints the holder's decisions about a job,
 * and "explain --logs KEY [FILE ...]", which prints its timeline from log
 * files. */
ExitCode
RunExplainVerb(int aCount, const char** aArguments);

}
