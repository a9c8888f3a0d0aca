#pragma once

#include "contracts/team.h"
#include "core/names.h"
#include "machines/entry_host.h"
#include "machines/minion.h"
#include "machines/worker.h"

#include <compare>
#include <string>
#include <vector>

namespace sardinecourse {

/** One data centre: its racks of workers, its minions, its entry hosts and the
 * teams it serves. */
class DataCentre
{
public:
  const DataCentreName& Name() const { return this->name; }
  /** Data centres of one region are within a few milliseconds of each other. */
  const std::string& Region() const { return this->region; }
  const std::vector<EntryHost>& EntryHosts() const { return this->entryHosts; }
  /** Workers of one rack share a rack name. */
  const std::vector<Worker>& Workers() const { return this->workers; }
  const std::vector<Minion>& Minions() const { return this->minions; }
  const std::vector<Team>& Teams() const { return this->teams; }

  auto operator<=>(const DataCentre&) const = default;

private:
  friend class DataCentreBuilder;

  DataCentreName name;
  std::string region;
  std::vector<EntryHost> entryHosts;
  std::vector<Worker> workers;
  std::vector<Minion> minions;
  std::vector<Team> teams;
};

}
