#include "machines/host_list_builder.h"

#include "core/reason.h"

#include <algorithm>
#include <utility>

namespace sardinecourse {

HostListBuilder&
HostListBuilder::Live(std::vector<std::string> aLive)
{
  this->value.live = std::move(aLive);
  std::sort(this->value.live.begin(), this->value.live.end());
  return *this;
}

HostListBuilder&
HostListBuilder::Leaving(std::vector<std::string> aLeaving)
{
  this->value.leaving = std::move(aLeaving);
  std::sort(this->value.leaving.begin(), this->value.leaving.end());
  return *this;
}

std::optional<HostList>
HostListBuilder::Build(Reason& aReason) const
{
  for (const std::string& name : this->value.live) {
    if (name.empty() || this->value.IsLeaving(name)) {
      aReason =
        Reason(Step::kPlatformRead,
               name,
               "a host must have a name and not be both live and leaving");
      return std::nullopt;
    }
  }
  return this->value;
}

}
