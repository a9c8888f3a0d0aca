#pragma once

#include <compare>

namespace sardinecourse {

/** Work of recent jobs of one team, or of one data centre's callers, in
 * core-seconds. */
struct ServiceRecord
{
  /** Work that is done or that should have been done by now. */
  double due = 0.0;
  /** The part of it that was done in time. */
  double inTime = 0.0;

  auto operator<=>(const ServiceRecord&) const = default;
};

}
