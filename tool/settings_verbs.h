#pragma once

#include "tool/exit_code.h"

namespace sardinecourse {

/** Runs "settings check | diff | apply | show | history". */
ExitCode
RunSettingsVerbs(int aCount, const char** aArguments);

}
