#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "tests/harness/gang_rules.h"
#include "tests/harness/process.h"
#include "tests/harness/test_folder.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** One data centre with real processes: a platform, workers of 8 accelerators,
 * 6 to a rack, and daemons. Teams t0 to t3 are each guaranteed one gang of
 * 2 x 8, or of 1 x 8 where that does not fit. */
class JobDeployment
{
public:
  /** aWorkerPoll sets the pace of task leases: they last three polls. */
  JobDeployment(int aWorkers, int aDaemons, Milliseconds aWorkerPoll);

  /** Puts the settings in force and waits until a holder is there. */
  bool WaitReady();
  Process& Daemon(int aIndex) { return this->daemons[aIndex]; }
  int Daemons() const { return static_cast<int>(this->daemons.size()); }
  /** Starts a daemon again that was killed. */
  void Restart(int aIndex);
  /** Index of the daemon that the table names as holder; -1 if there is none.
   */
  int Holder();

  /** Switches the faults of a worker; "{}" ends them all. */
  void WorkerFaults(int aWorker, const std::string& aFaults);
  void PlatformFaults(const std::string& aFaults);

  /** Submits through a daemon; the answer's status, or 0 when none came. */
  int Submit(int aDaemon,
             const std::string& aTeam,
             const std::string& aKey,
             int aMembers,
             int aAccelerators,
             Milliseconds aRunTime,
             bool aUrgent = false);
  int Cancel(int aDaemon, const std::string& aTeam, const std::string& aKey);
  /** State of a job, from whichever daemon answers; empty if none does. */
  std::string State(const std::string& aTeam, const std::string& aKey);
  bool WaitForState(const std::string& aTeam,
                    const std::string& aKey,
                    const std::string& aState,
                    Milliseconds aTimeout);

  std::vector<TaskEvent> Record();
  /** Writes to the table so far. */
  std::int64_t TableWrites();

  const Endpoint& Callers(int aDaemon) const { return this->callers[aDaemon]; }
  const Endpoint& WorkerAddress(int aWorker) const
  {
    return this->workers[aWorker];
  }
  void Passed() { this->folder.Passed(); }

private:
  std::string FleetText() const;
  std::string HostText(int aIndex) const;

  TestFolder folder;
  Milliseconds workerPoll;
  Endpoint platform;
  std::vector<Endpoint> workers;
  std::vector<Endpoint> callers;
  std::vector<Endpoint> peers;
  std::vector<Process> processes;
  std::vector<Process> daemons;
};

}
