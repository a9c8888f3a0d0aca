#include "review/stand_in/cases.h"
#include "review/stand_in/words.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>
#include <unistd.h>

namespace {

constexpr unsigned kTimeLimitSeconds = 118;

}

int
main(int aCount, const char** aArguments)
{
  using namespace review;
  using Case = Verdict (*)(Record&, bool);
  const std::map<std::string, Case> cases = {
    { "poison-job", PoisonJob },
    { "ended-lasting-task", EndedLastingTask },
    { "cancel-after-leaving", CancelAfterLeaving },
    { "refused-starts", RefusedStarts },
    { "unlisted-ends", UnlistedEnds },
  };
  if (aCount != 4 || !cases.contains(aArguments[1]) ||
      !LoadWords(aArguments[2])) {
    std::cerr << "usage: case NAME WORDS RECORD, in the repository\n";
    return static_cast<int>(Verdict::kNotRun);
  }
  // The daemons are killed with this process.
  ::alarm(kTimeLimitSeconds);
  const char* trouble = std::getenv("TROUBLE");
  const bool isTrouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(aArguments[3]);
  Verdict verdict = Verdict::kNotRun;
  try {
    verdict = cases.at(aArguments[1])(record, isTrouble);
  } catch (const std::exception& error) {
    record.Line(std::string("the case could not run: ") + error.what());
  }
  record.Line("exit code " + std::to_string(static_cast<int>(verdict)));
  return static_cast<int>(verdict);
}
