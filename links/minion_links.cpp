#include "links/minion_links.h"

namespace sardinecourse {

MinionLink&
MinionLinks::To(const std::shared_ptr<MinionState>& aMinionState)
{
  std::unique_ptr<MinionLink>& link = this->links[aMinionState.get()];
  if (!link) {
    link = std::make_unique<MinionLink>(*this->context, aMinionState);
  }
  return *link;
}

void
MinionLinks::CloseIdle(Instant aNow)
{
  for (auto entry = this->links.begin(); entry != this->links.end();) {
    entry->second->CloseIdle(aNow);
    // Unused links are erased too: the settings may no longer list the minion.
    entry = entry->second->IsUnused() ? this->links.erase(entry) : ++entry;
  }
}

}
