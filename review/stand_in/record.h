#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

/** Writes what was sent, answered and run, with the milliseconds since the
 * start of the case. For all threads. */
class Record
{
public:
  explicit Record(const std::string& aFile)
    : file(aFile)
  {
  }

  std::int64_t NowMs() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - this->started)
      .count();
  }

  void Line(const std::string& aText)
  {
    const std::lock_guard lock(this->mutex);
    this->file << this->NowMs() << " ms " << aText << std::endl;
  }

private:
  std::chrono::steady_clock::time_point started =
    std::chrono::steady_clock::now();
  std::mutex mutex;
  std::ofstream file;
};

}
