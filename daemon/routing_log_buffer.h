#pragma once

#include "daemon/routing_record.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace sardinecourse {

/** Lock-free bounded queue of routing decisions from one serving thread to the
 * log's thread; neither thread waits for the other. */
class RoutingLogBuffer
{
public:
  RoutingLogBuffer();
  ~RoutingLogBuffer();

  /** Appends the record, or counts it as dropped when the buffer is full. */
  void Push(const RoutingRecord& aRecord);
  /** Removes the oldest record into aRecord; false when the buffer is empty. */
  bool Pop(RoutingRecord& aRecord);
  std::uint64_t Dropped() const
  {
    return this->dropped.load(std::memory_order_relaxed);
  }

private:
  struct Ring;

  std::unique_ptr<Ring> ring;
  std::atomic<std::uint64_t> dropped = 0;
};

}
