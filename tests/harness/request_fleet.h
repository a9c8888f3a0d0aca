#pragma once

#include "core/endpoint.h"
#include "core/instant.h"
#include "tests/harness/execution.h"
#include "tests/harness/process.h"
#include "tests/harness/relay.h"
#include "tests/harness/test_folder.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** The platform stand-in, minions of the service "fretdesk" behind one relay
 * each, and the daemons of one data centre, all started and ready. */
class RequestFleet
{
public:
  /** aServiceUs is the time in microseconds that a minion takes per request,
   * aGraceTime that from SIGTERM until a daemon is killed. aHostSettings are
   * further lines of each host's settings. */
  RequestFleet(std::size_t aHosts,
               std::size_t aMinions,
               int aServiceUs,
               Milliseconds aGraceTime = Milliseconds(30'000),
               const std::string& aHostSettings = "");

  std::size_t Hosts() const { return this->hosts.size(); }
  /** Address of a daemon for callers. */
  const Endpoint& Callers(std::size_t aHost) const;
  Process& Daemon(std::size_t aHost) { return *this->daemons.at(aHost); }
  /** Starts a new process for a daemon that has ended. */
  void Restart(std::size_t aHost);
  Relay& MinionRelay(std::size_t aMinion) { return *this->relays.at(aMinion); }
  std::size_t Minions() const { return this->relays.size(); }

  /** Sets the faults of one minion ("m1", ...) or of "all" as JSON; false if
   * they were not accepted. */
  bool SetMinionFaults(const std::string& aName, const std::string& aJson);
  /** Sets the state of a host in the platform's list: "live", "leaving" or
   * "gone"; false if it was not accepted. */
  bool ListHost(const std::string& aName, const std::string& aState);
  bool SetPlatformFaults(const std::string& aJson);
  /** All requests that the minions ran so far; empty without an answer. */
  std::vector<Execution> Executions();
  bool WaitUntilReady(std::size_t aHost);
  /** Marks the test as passed, so that its logs are removed. */
  void MarkPassed() { this->folder.MarkPassed(); }

private:
  struct Host
  {
    Endpoint callers;
    std::string settingsPath;
  };

  void StartMinions(std::size_t aMinions, int aServiceUs);
  void StartHosts(std::size_t aHosts,
                  Milliseconds aGraceTime,
                  const std::string& aHostSettings);

  TestFolder folder;
  Endpoint platformAddress;
  Endpoint control;
  std::unique_ptr<Process> platform;
  std::vector<std::unique_ptr<Process>> minions;
  std::vector<std::unique_ptr<Relay>> relays;
  std::vector<Host> hosts;
  std::vector<std::unique_ptr<Process>> daemons;
};

}
