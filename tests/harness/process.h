#pragma once

#include "core/instant.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sardinecourse::harness {

/**
 * One program of ours, started with its output in a log file of its own. It is
 * killed and reaped when the object goes, and when the test is ended by a
 * signal.
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
  /** All that the program wrote so far. */
  std::string Log() const;
  /** True until the program has ended, also while it is stopped. */
  bool Running();

  /** SIGKILL, SIGSTOP, SIGCONT or SIGTERM; nothing once the program ended. */
  void Signal(int aSignal);
  /** Kills the program and waits for its end. */
  void Kill();
  /** Exit code, or minus the signal that ended it; empty at the timeout. */
  std::optional<int> WaitForExit(Milliseconds aTimeout);

private:
  void Reap(int aStatus);

  pid_t pid = 0;
  std::optional<int> exitCode;
  std::string logPath;
};

/** Kills what the test started when a signal ends the test itself, and ends it
 * after aLimit, which keeps a hung test from leaving processes behind. */
void
KillProcessesOnSignals(std::chrono::seconds aLimit);

}
