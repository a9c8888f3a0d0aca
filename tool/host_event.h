#pragma once

#include "contracts/logged_event.h"

#include <compare>
#include <string>

namespace sardinecourse {

/** A logged event with the host that wrote it. */
struct HostEvent
{
  LoggedEvent event;
  std::string host;
  /** The original line of the log. */
  std::string line;

  auto operator<=>(const HostEvent&) const = default;
};

}
