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

/** One data centre of processes: the platform stand-in, workers with 8
 * accelerators each, 6 workers per rack, and daemons. Teams t0 to t3 are each
 * guaranteed one gang of 2 members with 8 accelerators each, or of 1 member
 * with fewer than 8 workers. */
class JobDeployment
{
public:
  /** aWorkerPoll is the polling interval of workers; task leases last three
   * intervals. */
  JobDeployment(int aWorkers, int aDaemons, Milliseconds aWorkerPoll);

  /** Puts the settings in force and waits until every daemon has them and there
   * is a holder; false at the timeout. */
  bool WaitReady();
  Process& Daemon(int aIndex) { return this->daemons[aIndex]; }
  int Daemons() const { return static_cast<int>(this->daemons.size()); }
  /** Starts a new process for a daemon that was killed. */
  void Restart(int aIndex);
  /** Index of the holder, by its row in the platform's table; -1 if there is
   * none. */
  int Holder();

  /** Sets the faults of a worker as JSON; "{}" clears them. */
  void SetWorkerFaults(int aWorker, const std::string& aFaults);
  /** Sets the faults of the platform as JSON. */
  void SetPlatformFaults(const std::string& aFaults);

  /** Submits through a daemon; returns the HTTP status, or 0 without an
   * answer. */
  int Submit(int aDaemon,
             const std::string& aTeam,
             const std::string& aKey,
             int aMembers,
             int aAccelerators,
             Milliseconds aRunTime,
             bool aUrgent = false);
  /** Cancels through a daemon; returns the HTTP status, or 0 without an
   * answer. */
  int Cancel(int aDaemon, const std::string& aTeam, const std::string& aKey);
  /** State of a job from the first daemon that returns it; empty if none
   * does. */
  std::string State(const std::string& aTeam, const std::string& aKey);
  bool WaitForState(const std::string& aTeam,
                    const std::string& aKey,
                    const std::string& aState,
                    Milliseconds aTimeout);

  /** Events of all workers so far; empty without an answer. */
  std::vector<TaskEvent> TaskEvents();
  /** Number of writes to the platform's table so far; 0 without an answer. */
  std::int64_t TableWrites();

  const Endpoint& Callers(int aDaemon) const { return this->callers[aDaemon]; }
  const Endpoint& WorkerAddress(int aWorker) const
  {
    return this->workers[aWorker];
  }
  /** Marks the test as passed, so that its logs are removed. */
  void MarkPassed() { this->folder.MarkPassed(); }

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
