#include "tool/job_verbs.h"
#include "tool/log_verbs.h"
#include "tool/settings_verbs.h"
#include "tool/status_verbs.h"

#include <array>
#include <iostream>
#include <string_view>

namespace sardinecourse {

namespace {

/** A group of verbs with the function that parses their options and runs
 * them. */
struct VerbGroup
{
  std::string_view name;
  ExitCode (*run)(int, const char**);
};

constexpr std::array kVerbGroups{
  VerbGroup{ "explain", RunExplainVerb },
  VerbGroup{ "job", RunJobVerbs },
  VerbGroup{ "logs", RunLogVerb },
  VerbGroup{ "settings", RunSettingsVerbs },
  VerbGroup{ "status", RunStatusVerbs },
};

ExitCode
Run(int aCount, const char** aArguments)
{
  const std::string_view name = aCount > 1 ? aArguments[1] : "";
  if (name == "--version") {
    std::cout << "sardinecourse " SARDINECOURSE_VERSION "\n";
    return ExitCode::kOk;
  }
  for (const VerbGroup& group : kVerbGroups) {
    if (group.name == name) {
      return group.run(aCount, aArguments);
    }
  }
  std::ostream& stream = name == "--help" ? std::cout : std::cerr;
  stream << "usage: sardinecourse VERB [--help]\nverbs:";
  for (const VerbGroup& group : kVerbGroups) {
    stream << ' ' << group.name;
  }
  stream << '\n';
  return name == "--help" ? ExitCode::kOk : ExitCode::kUsage;
}

}

}

int
main(int aCount, const char** aArguments)
{
  return static_cast<int>(sardinecourse::Run(aCount, aArguments));
}
