#pragma once

#include "tool/exit_code.h"

namespace sardinecourse {

/** sardinecourse status: every entry host, its revision and the platform. */
ExitCode
RunStatusVerbs(int aCount, const char** aArguments);

}
