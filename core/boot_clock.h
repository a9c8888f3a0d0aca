#pragma once

#include <chrono>

namespace sardinecourse {

/** A monotonic clock that also advances while the host is suspended, so that a
 * lease or a reading is never considered newer than it is. */
class BootClock
{
public:
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;

  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

}
