#include "machines/host_list.h"

#include <algorithm>

namespace sardinecourse {

bool
HostList::IsLive(std::string_view aName) const
{
  return std::binary_search(this->live.begin(), this->live.end(), aName);
}

bool
HostList::IsLeaving(std::string_view aName) const
{
  return std::binary_search(this->leaving.begin(), this->leaving.end(), aName);
}

}
