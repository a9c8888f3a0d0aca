#include "zones/minion_table.h"

#include "machines/minion_state.h"

namespace sardinecourse {

MinionTable::MinionTable(const MinionStates& aLocal,
                         const MinionStates& aRemote)
{
  for (const std::shared_ptr<MinionState>& minion : aLocal) {
    this->services[minion->Upstream().Service()].local.push_back(minion);
    this->all.push_back(minion);
  }
  for (const std::shared_ptr<MinionState>& minion : aRemote) {
    this->services[minion->Upstream().Service()].remote.push_back(minion);
    this->all.push_back(minion);
  }
}

const ServicePool*
MinionTable::Find(const ServiceName& aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : &found->second;
}

}
