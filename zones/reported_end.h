#pragma once

#include "contracts/ended_task.h"
#include "zones/stop_cause.h"

#include <compare>

namespace sardinecourse {

/** The end of a run that a worker reported for the first time. */
struct ReportedEnd
{
  EndedTask end;
  /** Why this holder had given the run up before; kNone when it had not. */
  StopCause cause = StopCause::kNone;

  auto operator<=>(const ReportedEnd&) const = default;
};

}
