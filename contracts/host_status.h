#pragma once

#include "contracts/peer_report.h"
#include "core/names.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** Status that a daemon reports to operators about itself. */
struct HostStatus
{
  HostName host;
  DataCentreName dataCentre;
  std::string version;
  /** Revision of the settings in force; 0 if there are none. */
  std::int64_t revision = 0;
  bool platformReachable = false;
  std::uint64_t platformReads = 0;
  std::uint64_t platformWrites = 0;
  std::chrono::seconds uptime{ 0 };
  /** Reports on all other entry hosts. */
  std::vector<PeerReport> peers;

  auto operator<=>(const HostStatus&) const = default;
};

}
