#pragma once

#include <cstdint>
#include <string>

namespace sardinecourse {

/** One request that a stand-in minion ran. Times are in microseconds of the
 * system clock. */
struct MinionExecution
{
  std::string identity;
  std::string body;
  std::int64_t startUs = 0;
  /** 0 while the request runs. */
  std::int64_t endUs = 0;
};

}
