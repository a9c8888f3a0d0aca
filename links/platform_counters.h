#pragma once

#include <atomic>
#include <cstdint>

namespace sardinecourse {

/** Calls to the platform since the start; any thread may read them. */
struct PlatformCounters
{
  std::atomic<std::uint64_t> reads{ 0 };
  /** Transactions sent, repeated ones included. */
  std::atomic<std::uint64_t> writes{ 0 };
  /** Calls that no endpoint answered in time. */
  std::atomic<std::uint64_t> failures{ 0 };
  /** Transactions whose outcome stayed not known. */
  std::atomic<std::uint64_t> notKnown{ 0 };
};

}
