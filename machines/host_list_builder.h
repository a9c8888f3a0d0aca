#pragma once

#include "machines/host_list.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a HostList. Build() returns nullopt and sets aReason when a name of a
 * live host is empty or the host is also listed as leaving. */
class HostListBuilder
{
public:
  HostListBuilder& Live(std::vector<std::string> aLive);
  HostListBuilder& Leaving(std::vector<std::string> aLeaving);
  std::optional<HostList> Build(Reason& aReason) const;

private:
  HostList value;
};

}
