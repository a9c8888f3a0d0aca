#pragma once

#include "core/instant.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sardinecourse::harness {

/**
 * A child process that runs a program of the build, with its output appended to
 * a log file. It is killed and reaped when the object is destroyed, and killed
 * when a signal ends the test (KillProcessesOnSignals()).
 */
class Process
{
public:
  /** aProgram is relative to the build folder, for example "sardinecoursed". */
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          std::string aLogPath);
  ~Process();
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&& aOther) noexcept;

  pid_t Pid() const { return this->pid; }
  const std::string& LogPath() const { return this->logPath; }
  /** Content of the log file so far. */
  std::string Log() const;
  /** True until the process has exited, also while SIGSTOP suspends it. */
  bool IsRunning();

  /** Sends a signal, for example SIGSTOP; does nothing after the exit. */
  void Signal(int aSignal);
  /** Sends SIGKILL and waits for the exit. */
  void Kill();
  /** Exit code, or the negated number of the signal that ended the process; -1
   * if it could not be started; empty at the timeout. */
  std::optional<int> WaitForExit(Milliseconds aTimeout);

private:
  void RecordExit(int aStatus);

  pid_t pid = 0;
  std::optional<int> exitCode;
  std::string logPath;
};

/** Kills all child processes when a signal ends the test, and ends the test
 * after aLimit, so that a hung test leaves no processes behind. */
void
KillProcessesOnSignals(std::chrono::seconds aLimit);

}
