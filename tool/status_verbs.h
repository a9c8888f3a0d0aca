#pragma once

#include "tool/exit_code.h"

namespace sardinecourse {

/** Runs "status", which prints each entry host with its settings revision and
 * whether it reaches the platform. */
ExitCode
RunStatusVerbs(int aCount, const char** aArguments);

}
