#include "daemon/routing_log_buffer.h"

#include <boost/lockfree/spsc_queue.hpp>

namespace sardinecourse {

namespace {

constexpr std::size_t kMaxRecords = 8192;

}

struct RoutingLogBuffer::Ring
{
  boost::lockfree::spsc_queue<RoutingRecord> records{ kMaxRecords };
};

RoutingLogBuffer::RoutingLogBuffer()
  : ring(std::make_unique<Ring>())
{
}

RoutingLogBuffer::~RoutingLogBuffer() = default;

void
RoutingLogBuffer::Push(const RoutingRecord& aRecord)
{
  if (!this->ring->records.push(aRecord)) {
    this->dropped.fetch_add(1, std::memory_order_relaxed);
  }
}

bool
RoutingLogBuffer::Pop(RoutingRecord& aRecord)
{
  return this->ring->records.pop(aRecord);
}

}
