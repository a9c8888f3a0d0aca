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

/** Writes a log line for each routing decision in a thread of its own, so that
 * no request waits for the log. */
class RoutingLog
{
public:
  RoutingLog();
  ~RoutingLog();
  RoutingLog(const RoutingLog&) = delete;
  RoutingLog& operator=(const RoutingLog&) = delete;

  /** A buffer for one serving thread; all are added before Start(). */
  RoutingLogBuffer& AddBuffer();
  void Start();
  /** Writes what is left and ends the thread. */
  void Stop();
  /** Decisions whose line was left out because the buffer was full. */
  std::uint64_t Dropped() const;

private:
  void WriteLater();
  void WriteAll();

  boost::asio::io_context context;
  boost::asio::steady_timer timer;
  std::vector<std::unique_ptr<RoutingLogBuffer>> buffers;
  std::uint64_t reportedDropped = 0;
  std::thread thread;
};

}
