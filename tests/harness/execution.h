#pragma once

#include <cstdint>
#include <string>

namespace sardinecourse::harness {

/** One request that a stand-in minion ran, by its own record. */
struct Execution
{
  std::string minion;
  std::string body;
  /** Microseconds of the system's clock. */
  std::int64_t startUs = 0;
  std::int64_t endUs = 0;
};

}
