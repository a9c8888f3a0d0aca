#include "tests/harness/process.h"

#include "tests/harness/wait.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char** environ;

namespace sardinecourse::harness {

namespace {

constexpr std::size_t kMaxProcesses = 256;
constexpr int kOpenMode = 0644;
constexpr int kSignalExitBase = 128;

/** Process ids of running children, 0 for a free entry. A signal handler reads
 * it, so it is a fixed array of atomics. */
std::array<std::atomic<pid_t>, kMaxProcesses> gChildren;

void
ReplaceEntry(pid_t aFrom, pid_t aTo)
{
  for (std::atomic<pid_t>& entry : gChildren) {
    pid_t expected = aFrom;
    if (entry.compare_exchange_strong(expected, aTo)) {
      return;
    }
  }
}

void
KillChildrenAndExit(int aSignal)
{
  for (const std::atomic<pid_t>& entry : gChildren) {
    if (entry.load() > 0) {
      kill(entry.load(), SIGKILL);
    }
  }
  constexpr std::string_view kText =
    "the test was ended by a signal; the exit code is 128 plus its number\n";
  const ssize_t ignored = write(STDERR_FILENO, kText.data(), kText.size());
  static_cast<void>(ignored);
  _exit(kSignalExitBase + aSignal);
}

pid_t
Spawn(const std::string& aPath,
      std::vector<std::string> aArguments,
      const std::string& aLogPath)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (std::string& argument : aArguments) {
    arguments.push_back(argument.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aLogPath.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   kOpenMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // A child that inherits a socket of the test keeps it open after the test has
  // closed it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  pid_t pid = 0;
  const int error = posix_spawn(
    &pid, aPath.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    std::fprintf(stderr, "cannot start %s: error %d\n", aPath.c_str(), error);
    return 0;
  }
  return pid;
}

}

Process::Process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments,
                 std::string aLogPath)
  : logPath(std::move(aLogPath))
{
  const std::string path = std::string(SARDINECOURSE_BUILD_DIR "/") + aProgram;
  std::vector<std::string> arguments{ path };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  this->pid = Spawn(path, std::move(arguments), this->logPath);
  if (this->pid > 0) {
    ReplaceEntry(0, this->pid);
  } else {
    this->exitCode = -1;
  }
}

Process::~Process()
{
  this->Kill();
}

Process::Process(Process&& aOther) noexcept
  : pid(std::exchange(aOther.pid, 0))
  , exitCode(std::exchange(aOther.exitCode, -1))
  , logPath(std::move(aOther.logPath))
{
}

Process&
Process::operator=(Process&& aOther) noexcept
{
  if (this != &aOther) {
    this->Kill();
    this->pid = std::exchange(aOther.pid, 0);
    this->exitCode = std::exchange(aOther.exitCode, -1);
    this->logPath = std::move(aOther.logPath);
  }
  return *this;
}

std::string
Process::Log() const
{
  std::ostringstream text;
  text << std::ifstream(this->logPath).rdbuf();
  return text.str();
}

bool
Process::IsRunning()
{
  int status = 0;
  if (!this->exitCode && waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->RecordExit(status);
  }
  return !this->exitCode;
}

void
Process::Signal(int aSignal)
{
  if (this->IsRunning()) {
    kill(this->pid, aSignal);
  }
}

void
Process::Kill()
{
  if (!this->IsRunning()) {
    return;
  }
  kill(this->pid, SIGKILL);
  int status = 0;
  if (waitpid(this->pid, &status, 0) == this->pid) {
    this->RecordExit(status);
  }
}

std::optional<int>
Process::WaitForExit(Milliseconds aTimeout)
{
  WaitUntil(aTimeout, [this] { return !this->IsRunning(); });
  return this->exitCode;
}

void
Process::RecordExit(int aStatus)
{
  ReplaceEntry(this->pid, 0);
  this->exitCode =
    WIFEXITED(aStatus) ? WEXITSTATUS(aStatus) : -WTERMSIG(aStatus);
}

void
KillProcessesOnSignals(std::chrono::seconds aLimit)
{
  for (const int signal :
       { SIGALRM, SIGTERM, SIGINT, SIGHUP, SIGSEGV, SIGABRT }) {
    std::signal(signal, &KillChildrenAndExit);
  }
  alarm(static_cast<unsigned>(aLimit.count()));
}

}
