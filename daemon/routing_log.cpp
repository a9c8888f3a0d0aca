#include "daemon/routing_log.h"

#include "core/instant.h"
#include "daemon/routing_log_buffer.h"
#include "machines/minion_state.h"

#include <boost/asio/post.hpp>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace sardinecourse {

namespace {

constexpr Milliseconds kWriteInterval{ 20 };

void
Write(const log4cplus::Logger& aLogger, const RoutingRecord& aRecord)
{
  if (!aRecord.minion) {
    LOG4CPLUS_INFO(aLogger,
                   "decision=refused request="
                     << aRecord.request << " team=" << aRecord.team
                     << " service=" << aRecord.service
                     << " attempt=" << aRecord.attempt << " reason=\""
                     << aRecord.refusal << '"');
    return;
  }
  LOG4CPLUS_INFO(aLogger,
                 "decision=routed request="
                   << aRecord.request << " team=" << aRecord.team
                   << " service=" << aRecord.service
                   << " minion=" << aRecord.minion->Upstream().Name().Text()
                   << " in_flight=" << aRecord.inFlight
                   << " attempt=" << aRecord.attempt
                   << " reason=" << RoutingChoiceName(aRecord.choice));
}

}

RoutingLog::RoutingLog()
  : context(1)
  , timer(this->context)
{
}

RoutingLog::~RoutingLog()
{
  this->Stop();
}

RoutingLogBuffer&
RoutingLog::AddBuffer()
{
  this->buffers.push_back(std::make_unique<RoutingLogBuffer>());
  return *this->buffers.back();
}

void
RoutingLog::Start()
{
  this->ScheduleWrite();
  this->thread = std::thread([this] { this->context.run(); });
}

void
RoutingLog::Stop()
{
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
    this->WriteAll();
  }
}

std::uint64_t
RoutingLog::Dropped() const
{
  std::uint64_t dropped = 0;
  for (const auto& buffer : this->buffers) {
    dropped += buffer->Dropped();
  }
  return dropped;
}

void
RoutingLog::ScheduleWrite()
{
  this->timer.expires_after(kWriteInterval);
  this->timer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->WriteAll();
      this->ScheduleWrite();
    }
  });
}

void
RoutingLog::WriteAll()
{
  const log4cplus::Logger logger = log4cplus::Logger::getInstance("routing");
  RoutingRecord record;
  for (const auto& buffer : this->buffers) {
    while (buffer->Pop(record)) {
      Write(logger, record);
    }
  }
  const std::uint64_t dropped = this->Dropped();
  if (dropped != this->reportedDropped) {
    LOG4CPLUS_WARN(logger, "lines_dropped=" << dropped - this->reportedDropped);
    this->reportedDropped = dropped;
  }
}

}
