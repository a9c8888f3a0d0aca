#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace sardinecourse::harness {

/** One event in the history that the worker stand-in records, in one order for
 * all workers. */
struct TaskEvent
{
  std::int64_t atMs = 0;
  std::string worker;
  std::string event;
  std::string task;
  std::string team;
  std::string job;
  std::int64_t term = 0;
  std::int64_t sequence = 0;
  std::int32_t member = 0;
  std::int32_t members = 0;

  /** Identifies the attempt to run a job: team, job, term and sequence. */
  auto Attempt() const
  {
    return std::tuple(this->team, this->job, this->term, this->sequence);
  }

  auto operator<=>(const TaskEvent&) const = default;
};

}
