#pragma once

#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace sardinecourse {

/**
 * Parses the command line of a group of verbs, for example "settings apply FILE
 * --note TEXT", and returns the positional arguments. Empty, with a message on
 * standard error, when an option is unknown or has no valid value.
 */
std::optional<std::vector<std::string>>
ParseVerb(int aCount,
          const char** aArguments,
          const poptOption* aOptions,
          const char* aHelp);

}
