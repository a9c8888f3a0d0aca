#pragma once

#include "core/names.h"

#include <compare>
#include <cstdint>
#include <string>

namespace sardinecourse {

/** Status that a daemon reports to operators about another entry host. */
struct PeerReport
{
  HostName host;
  DataCentreName dataCentre;
  /** "live", "suspected", "gone" or "unknown". */
  std::string state;
  /** Last settings revision received from that host. */
  std::int64_t revision = 0;

  auto operator<=>(const PeerReport&) const = default;
};

}
