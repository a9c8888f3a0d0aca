#include "tests/harness/process_usage.h"

#include "tests/harness/wait.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/resource.h>

namespace sardinecourse::harness {

namespace {

constexpr std::int64_t kBytesPerKb = 1024;

constexpr Milliseconds kQuietTime{ 300 };

std::filesystem::path
FolderOf(pid_t aProcess)
{
  return std::filesystem::path("/proc") / std::to_string(aProcess);
}

/** The fields of the processor time in user and in system mode. */
std::string
ProcessorTime(pid_t aProcess)
{
  std::ifstream file(FolderOf(aProcess) / "stat");
  std::string text;
  std::getline(file, text);
  // The name of the program, in parentheses, may contain spaces.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  constexpr int kFieldsBefore = 11;
  std::string field;
  for (int skipped = 0; skipped < kFieldsBefore; ++skipped) {
    fields >> field;
  }
  std::string user;
  std::string system;
  fields >> user >> system;
  return user + ' ' + system;
}

}

std::int64_t
PeakMemoryBytes(pid_t aProcess)
{
  std::ifstream status(FolderOf(aProcess) / "status");
  for (std::string word; status >> word;) {
    std::int64_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) {
      return kilobytes * kBytesPerKb;
    }
  }
  return -1;
}

std::int64_t
OpenDescriptors(pid_t aProcess)
{
  std::error_code error;
  const std::filesystem::directory_iterator entries(FolderOf(aProcess) / "fd",
                                                    error);
  return error ? -1 : std::distance(begin(entries), end(entries));
}

bool
WaitUntilQuiet(pid_t aProcess, Milliseconds aTimeout)
{
  std::string last;
  Instant lastChange = Clock::now();
  return WaitUntil(aTimeout, [&] {
    const std::string now = ProcessorTime(aProcess);
    if (now != last) {
      last = now;
      lastChange = Clock::now();
    }
    return Clock::now() - lastChange >= kQuietTime;
  });
}

bool
LimitDescriptors(pid_t aProcess, std::int64_t aDescriptors)
{
  rlimit limit{};
  limit.rlim_cur = static_cast<rlim_t>(aDescriptors);
  limit.rlim_max = limit.rlim_cur;
  return prlimit(aProcess, RLIMIT_NOFILE, &limit, nullptr) == 0;
}

}
