#pragma once

#include <cstdint>
#include <string>

namespace sardinecourse {

/** One request that a stand-in minion ran. Times are microseconds of the
 * system's clock. */
struct MinionExecution
{
  std::string identity;
  std::string body;
  std::int64_t startUs = 0;
  std::int64_t endUs = 0;
};

}
