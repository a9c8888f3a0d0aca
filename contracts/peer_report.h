#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** What a daemon tells operators of one other entry host. */
struct PeerReport
{
  HostName host;
  DataCentreName dataCentre;
  /** "live", "suspected", "gone" or "unknown". */
  std::string state;
  /** Revision of the settings that it named last. */
  std::int64_t revision = 0;

  auto operator<=>(const PeerReport&) const = default;
};

}
