#include "tool/verb_arguments.h"

#include <iostream>

namespace sardinecourse {

std::optional<std::vector<std::string>>
ParseVerb(int aCount,
          const char** aArguments,
          const poptOption* aOptions,
          const char* aHelp)
{
  poptContext context =
    poptGetContext("sardinecourse", aCount, aArguments, aOptions, 0);
  poptSetOtherOptionHelp(context, aHelp);
  const int parsed = poptGetNextOpt(context);
  if (parsed < -1) {
    std::cerr << "sardinecourse: "
              << poptBadOption(context, POPT_BADOPTION_NOALIAS) << ": "
              << poptStrerror(parsed) << '\n';
    poptFreeContext(context);
    return std::nullopt;
  }
  std::vector<std::string> arguments;
  while (const char* argument = poptGetArg(context)) {
    arguments.emplace_back(argument);
  }
  poptFreeContext(context);
  return arguments;
}

}
