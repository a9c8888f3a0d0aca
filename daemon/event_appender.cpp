#include "daemon/event_appender.h"

#include "codecs/logged_event_json.h"
#include "contracts/logged_event.h"
#include "core/instant.h"
#include "core/wall_time.h"

#include <algorithm>
#include <cerrno>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace sardinecourse {

namespace {

/** Holds a few seconds of the busiest host's log. */
constexpr std::size_t kMaxBytes = 512UL * 1024;
/** Wait after the first line, so that lines logged together are written in one
 * batch. */
constexpr Milliseconds kBatchDelay{ 20 };
constexpr int kPollTimeoutMs = 100;
/** A pipe that polls as writable takes this much without blocking (POSIX,
 * PIPE_BUF). */
constexpr std::size_t kChunkBytes = 4096;
/** Failed writes in a row after which closing discards the rest; leaves a slow
 * reader some time. */
constexpr int kClosingAttempts = 5;

}

EventAppender::EventAppender(int aDescriptor)
  : descriptor(aDescriptor)
  , writer([this] { this->Run(); })
{
}

EventAppender::~EventAppender()
{
  this->destructorImpl();
}

void
EventAppender::close()
{
  {
    const std::lock_guard lock(this->mutex);
    this->isClosing = true;
  }
  this->changed.notify_one();
  if (this->writer.joinable()) {
    this->writer.join();
  }
  this->closed = true;
}

std::uint64_t
EventAppender::Dropped()
{
  const std::lock_guard lock(this->mutex);
  return this->totalDropped;
}

void
EventAppender::append(const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  const log4cplus::tstring& line = this->formatEvent(aEvent);
  bool wasEmpty = false;
  {
    const std::lock_guard lock(this->mutex);
    if (this->buffer.size() + line.size() > kMaxBytes) {
      ++this->unreportedDropped;
      ++this->totalDropped;
      return;
    }
    wasEmpty = this->buffer.empty();
    this->buffer += line;
  }
  if (wasEmpty) {
    this->changed.notify_one();
  }
}

std::string
EventAppender::TakeBuffer()
{
  std::string text = std::exchange(this->buffer, {});
  const std::uint64_t lineCount = std::exchange(this->unreportedDropped, 0);
  if (lineCount > 0) {
    text += EncodeLoggedEvent(
      { .at = WallNow().time_since_epoch(),
        .event = "log_dropped",
        .fields = { { "lines", static_cast<std::int64_t>(lineCount) } } });
    text += '\n';
  }
  return text;
}

void
EventAppender::Run()
{
  int failures = 0;
  std::string text;
  std::size_t written = 0;
  while (true) {
    if (written == text.size()) {
      std::unique_lock lock(this->mutex);
      this->changed.wait(
        lock, [this] { return !this->buffer.empty() || this->isClosing; });
      if (!this->isClosing) {
        this->changed.wait_for(
          lock, kBatchDelay, [this] { return this->isClosing; });
      }
      text = this->TakeBuffer();
      written = 0;
      if (text.empty()) {
        return;
      }
    }
    const bool isWritten = this->Write(text, written);
    failures = isWritten ? 0 : failures + 1;
    const std::lock_guard lock(this->mutex);
    if (this->isClosing && failures >= kClosingAttempts) {
      return;
    }
  }
}

bool
EventAppender::Write(const std::string& aText, std::size_t& aWritten) const
{
  pollfd writable{ this->descriptor, POLLOUT, 0 };
  if (::poll(&writable, 1, kPollTimeoutMs) <= 0) {
    return false;
  }
  const std::size_t length = std::min(kChunkBytes, aText.size() - aWritten);
  const ssize_t count =
    ::write(this->descriptor, aText.data() + aWritten, length);
  if (count < 0) {
    if (errno != EINTR && errno != EAGAIN) {
      aWritten = aText.size(); // The reader is gone.
    }
    return false;
  }
  aWritten += static_cast<std::size_t>(count);
  return true;
}

}
