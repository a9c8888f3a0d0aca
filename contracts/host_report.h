#pragma once

#include "contracts/host_status.h"
#include "core/endpoint.h"

#include <compare>
#include <optional>

namespace sardinecourse {

/** One entry host and its status; no status when it did not answer. */
struct HostReport
{
  HostName host;
  Endpoint callers;
  std::optional<HostStatus> status;

  auto operator<=>(const HostReport&) const = default;
};

}
