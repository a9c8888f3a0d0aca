#pragma once

#include <atomic>
#include <cstdint>

namespace sardinecourse {

/** Counts of calls to the platform since the start; any thread may read them.
 */
struct PlatformCounters
{
  /** Read calls, without repetitions. */
  std::atomic<std::uint64_t> reads{ 0 };
  /** Transactions sent, including repetitions. */
  std::atomic<std::uint64_t> writes{ 0 };
  /** Calls that no endpoint answered in time, and reads that were refused. */
  std::atomic<std::uint64_t> failures{ 0 };
  /** Transactions whose outcome could not be determined. */
  std::atomic<std::uint64_t> notKnown{ 0 };
};

}
