#include "zones/minion_table.h"

#include "machines/minion_slot.h"

namespace sardinecourse {

MinionTable::MinionTable(const Slots& aLocal, const Slots& aRemote)
{
  for (const std::shared_ptr<MinionSlot>& slot : aLocal) {
    this->services[slot->Upstream().Service()].local.push_back(slot);
    this->all.push_back(slot);
  }
  for (const std::shared_ptr<MinionSlot>& slot : aRemote) {
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
