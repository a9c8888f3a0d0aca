#include "zones/minion_table.h"

#include "machines/minion_state.h"

namespace sardinecourse {

MinionTable::MinionTable(const Slots& aLocal, const Slots& aRemote)
{
  for (const std::shared_ptr<MinionState>& slot : aLocal) {
    this->services[slot->Upstream().Service()].local.push_back(slot);
    this->all.push_back(slot);
  }
  for (const std::shared_ptr<MinionState>& slot : aRemote) {
    this->services[slot->Upstream().Service()].remote.push_back(slot);
    this->all.push_back(slot);
  }
}

const ServicePool*
MinionTable::Find(const ServiceName& aService) const
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : &found->second;
}

}
