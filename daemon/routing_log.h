#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace sardinecourse {

class RoutingLogBuffer;

/** Writes a log line for each routing decision from a separate thread, so that
 * no request waits for the log. */
class RoutingLog
{
public:
  RoutingLog();
  ~RoutingLog();
  RoutingLog(const RoutingLog&) = delete;
  RoutingLog& operator=(const RoutingLog&) = delete;

  /** Adds a buffer for one serving thread. Must be called before Start(). */
  RoutingLogBuffer& AddBuffer();
  void Start();
  /** Ends the thread and writes the remaining records. */
  void Stop();
  /** Number of decisions not logged because a buffer was full. */
  std::uint64_t Dropped() const;

private:
  void ScheduleWrite();
  void WriteAll();

  boost::asio::io_context context;
  boost::asio::steady_timer timer;
  std::vector<std::unique_ptr<RoutingLogBuffer>> buffers;
  std::uint64_t reportedDropped = 0;
  std::thread thread;
};

}
