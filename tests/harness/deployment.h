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
 * Daemons in two data centres, with the platform. "west" has the hosts a1 and
 * a2, and east the host b1; all connections between the two are dialled by
 * west, because its names are lower, and go through one relay. Each data centre
 * reaches the platform through a relay of its own, and has one minion of the
 * service "fretdesk".
 */
class Deployment
{
public:
  Deployment();

  static std::vector<std::string> Hosts() { return { "a1", "a2", "b1" }; }
  const Endpoint& Callers(const std::string& aHost) const;
  Process& Daemon(const std::string& aHost) { return *this->daemons.at(aHost); }
  /** Starts a host, or starts it again. */
  void Start(const std::string& aHost);

  /** Between the two data centres. */
  Relay& Between() { return *this->between; }
  Relay& PlatformRelay(const std::string& aDataCentre)
  {
    return *this->platformRelays.at(aDataCentre);
  }
  /** Cuts west off from all else, or heals that. */
  void CutWest(RelayMode aMode);

  /** The fleet's settings; aMark makes two of them differ. */
  std::string Fleet(int aMark) const;
  /** Proposes Fleet(aMark) to a host until that is in force there; gives the
   * revision. */
  std::optional<std::int64_t> Apply(const std::string& aHost, int aMark);
  /** Waits until all of aHosts have a revision in force. */
  bool WaitForRevision(const std::vector<std::string>& aHosts,
                       std::int64_t aRevision,
                       Milliseconds aTimeout) const;

  bool SetMinionFaults(const std::string& aMinion, const std::string& aJson);
  bool SetPlatformFaults(const std::string& aJson);
  void Passed() { this->folder.Passed(); }

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
  /** Where each host really listens. */
  std::map<std::string, EntryHost> hosts;
  std::unique_ptr<Relay> between;
  std::map<std::string, std::unique_ptr<Process>> daemons;
};

}
