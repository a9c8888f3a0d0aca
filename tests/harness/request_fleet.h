#pragma once

#include "core/endpoint.h"
#include "tests/harness/execution.h"
#include "tests/harness/process.h"
#include "tests/harness/relay.h"
#include "tests/harness/test_folder.h"

#include <memory>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/** A platform, minions of the service "fretdesk" behind relays, and daemons of
 * one data centre, all started and ready. */
class RequestFleet
{
public:
  RequestFleet(std::size_t aHosts, std::size_t aMinions, int aServiceUs);

  std::size_t Hosts() const { return this->hosts.size(); }
  /** Where callers reach a daemon. */
  const Endpoint& Callers(std::size_t aHost) const;
  Process& Daemon(std::size_t aHost) { return *this->daemons.at(aHost); }
  /** Starts a daemon again after it ended. */
  void Restart(std::size_t aHost);
  Relay& MinionRelay(std::size_t aMinion) { return *this->relays.at(aMinion); }
  std::size_t Minions() const { return this->relays.size(); }

  /** Sets faults of one minion ("m1", ...) or of "all"; false if refused. */
  bool SetMinionFaults(const std::string& aName, const std::string& aJson);
  /** Puts a host on the platform's list as "live", "leaving" or "gone". */
  bool ListHost(const std::string& aName, const std::string& aState);
  bool SetPlatformFaults(const std::string& aJson);
  /** All that minions ran so far. */
  std::vector<Execution> Executions();
  bool WaitUntilReady(std::size_t aHost);
  /** Tells that the test passed, so that its logs may go. */
  void Passed() { this->folder.Passed(); }

private:
  struct Host
  {
    Endpoint callers;
    std::string settingsPath;
  };

  void StartMinions(std::size_t aMinions, int aServiceUs);
  void StartHosts(std::size_t aHosts);

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
