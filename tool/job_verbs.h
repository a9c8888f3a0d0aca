#pragma once

#include "tool/exit_code.h"

namespace sardinecourse {

/** "job submit | show | list | wait | cancel". */
ExitCode
RunJobVerbs(int aCount, const char** aArguments);

/** "explain TEAM KEY": the decisions about a job, from its holder. */
ExitCode
RunExplainVerb(int aCount, const char** aArguments);

}
