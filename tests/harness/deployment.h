#pragma once

#include "machines/entry_host.h"
#include "tests/harness/process.h"
#include "tests/harness/relay.h"
#include "tests/harness/test_folder.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sardinecourse::harness {

/**
 * The platform stand-in and daemons in two data centres: "west" with the hosts
 * a1 and a2, and "east" with the host b1. West opens all connections between
 * the two, because the host with the lower name connects, and they go through
 * one relay. Each data centre reaches the platform through its own relay and
 * has one minion of the service "fretdesk".
 */
class Deployment
{
public:
  Deployment();

  static std::vector<std::string> Hosts() { return { "a1", "a2", "b1" }; }
  const Endpoint& Callers(const std::string& aHost) const;
  Process& Daemon(const std::string& aHost) { return *this->daemons.at(aHost); }
  /** Starts or restarts the daemon of a host. */
  void Start(const std::string& aHost);

  /** The relay between the two data centres. */
  Relay& InterDataCentreRelay() { return *this->interDataCentreRelay; }
  Relay& PlatformRelay(const std::string& aDataCentre)
  {
    return *this->platformRelays.at(aDataCentre);
  }
  /** Sets the mode of the relays that connect west with east and with the
   * platform; kForward ends the partition. */
  void SetWestRelays(RelayMode aMode);

  /** The fleet's settings as YAML; different values of aMark give different
   * settings. */
  std::string Fleet(int aMark) const;
  /** Proposes Fleet(aMark) to a host until it is accepted; returns the
   * revision, or nothing after 15 s. */
  std::optional<std::int64_t> Apply(const std::string& aHost, int aMark);
  /** Waits until all of aHosts have aRevision in force; false at the timeout.
   */
  bool WaitForRevision(const std::vector<std::string>& aHosts,
                       std::int64_t aRevision,
                       Milliseconds aTimeout) const;

  bool SetMinionFaults(const std::string& aMinion, const std::string& aJson);
  bool SetPlatformFaults(const std::string& aJson);
  void MarkPassed() { this->folder.MarkPassed(); }

private:
  struct Minion
  {
    Endpoint address;
    Endpoint control;
  };

  void StartMinion(const std::string& aName);

  TestFolder folder;
  Endpoint platformAddress;
  std::unique_ptr<Process> platform;
  std::map<std::string, std::unique_ptr<Relay>> platformRelays;
  std::map<std::string, Minion> minions;
  std::vector<std::unique_ptr<Process>> minionProcesses;
  /** Addresses on which the hosts listen. West reaches b1 through the relay. */
  std::map<std::string, EntryHost> hosts;
  std::unique_ptr<Relay> interDataCentreRelay;
  std::map<std::string, std::unique_ptr<Process>> daemons;
};

}
