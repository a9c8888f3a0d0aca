#include "links/minion_links.h"

namespace sardinecourse {

MinionLink&
MinionLinks::To(const std::shared_ptr<MinionState>& aSlot)
{
  std::unique_ptr<MinionLink>& link = this->links[aSlot.get()];
  if (!link) {
    link = std::make_unique<MinionLink>(*this->context, aSlot);
  }
  return *link;
}

void
MinionLinks::CloseIdle(Instant aNow)
{
  for (auto entry = this->links.begin(); entry != this->links.end();) {
    entry->second->CloseIdle(aNow);
    // An unused link goes too: its minion may have left the settings.
    entry = entry->second->Unused() ? this->links.erase(entry) : ++entry;
  }
}

}
