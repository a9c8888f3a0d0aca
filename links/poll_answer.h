#pragma once

#include "contracts/worker_report.h"
#include "links/order_outcome.h"

#include <compare>
#include <optional>

namespace sardinecourse {

/** Answer to a poll of a worker; the report is present if the outcome is
 * OrderOutcome::kDone. */
struct PollAnswer
{
  OrderOutcome outcome = OrderOutcome::kNotKnown;
  std::optional<WorkerReport> report;

  auto operator<=>(const PollAnswer&) const = default;
};

}
