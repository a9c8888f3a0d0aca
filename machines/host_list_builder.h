#pragma once

#include "machines/host_list.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a HostList; Build() is empty, with the reason, when a name is empty
 * or a host is both live and leaving. */
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
