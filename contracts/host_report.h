#pragma once

#include "contracts/host_status.h"
#include "core/endpoint.h"

#include <compare>
#include <optional>

namespace sardinecourse {

/** An entry host and its status; the status is empty if the host did not
 * answer. */
struct HostReport
{
  HostName host;
  Endpoint callers;
  std::optional<HostStatus> status;

  auto operator<=>(const HostReport&) const = default;
};

}
