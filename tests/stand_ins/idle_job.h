#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** A job of which nothing runs although a task's turn has come and there is
 * room for it. Times are milliseconds of the simulation. */
struct IdleJob
{
  std::string job;
  std::int64_t sinceMs = 0;
  /** Last worker on which a task of the job was seen, and when; empty and 0
   * when none was. */
  std::string lastWorker;
  std::int64_t lastSeenMs = 0;
  /** Tasks that must start together, and how many of them fit. */
  std::int64_t needed = 0;
  std::int64_t fitting = 0;

  auto operator<=>(const IdleJob&) const = default;
};

}
