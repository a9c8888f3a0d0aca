#pragma once

#include "daemon/routing_record.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace sardinecourse {

/** Routing decisions on their way from one serving thread to the log's thread;
 * neither waits for the other. */
class RoutingLogBuffer
{
public:
  RoutingLogBuffer();
  ~RoutingLogBuffer();

  /** Keeps the record, or counts it as dropped when the buffer is full. */
  void Push(const RoutingRecord& aRecord);
  /** False when there is none. */
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
