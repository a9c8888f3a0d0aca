#pragma once

#include <condition_variable>
#include <cstdint>
#include <log4cplus/appender.h>
#include <mutex>
#include <string>
#include <thread>

namespace sardinecourse {

/**
 * Writes the log to a descriptor from a separate thread. Logging never blocks
 * on the reader: lines that do not fit into the bounded buffer are dropped and
 * counted, and a log_dropped event reports their number once lines can be
 * written again.
 */
class EventAppender : public log4cplus::Appender
{
public:
  explicit EventAppender(int aDescriptor);
  ~EventAppender() override;

  void close() override;

  /** Lines dropped since the start. */
  std::uint64_t Dropped();

protected:
  void append(const log4cplus::spi::InternalLoggingEvent& aEvent) override;

private:
  void Run();
  /** Writes the next part of aText and advances aWritten; false when nothing
   * was written. On an error that cannot be retried it sets aWritten to the
   * end, which discards the rest. */
  bool Write(const std::string& aText, std::size_t& aWritten) const;
  /** Returns and clears the buffered lines, followed by an event with the
   * number of unreported drops. The mutex is held by the caller. */
  std::string TakeBuffer();

  int descriptor;
  std::mutex mutex;
  std::condition_variable changed;
  std::string buffer;
  /** Lines dropped since the last log_dropped event, and since the start. */
  std::uint64_t unreportedDropped = 0;
  std::uint64_t totalDropped = 0;
  bool isClosing = false;
  std::thread writer;
};

}
