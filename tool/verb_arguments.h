#pragma once

#include <optional>
#include <popt.h>
#include <string>
#include <vector>

namespace sardinecourse {

/**
 * Parses the command line of one family of verbs, for example "settings apply
 * FILE --note TEXT", and gives the words that are no options. Empty, with a
 * message on standard error, when an option is wrong.
 */
std::optional<std::vector<std::string>>
ParseVerb(int aCount,
          const char** aArguments,
          const poptOption* aOptions,
          const char* aHelp);

}
