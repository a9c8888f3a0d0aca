#pragma once

#include <cstdint>
#include <string>

namespace sardinecourse::harness {

/** One request that a stand-in minion ran, as the minion recorded it. */
struct Execution
{
  std::string minion;
  std::string body;
  /** Start and end in microseconds of the system clock. */
  std::int64_t startUs = 0;
  std::int64_t endUs = 0;
};

}
