#pragma once

#include "contracts/worker_report.h"
#include "links/order_outcome.h"

#include <compare>
#include <optional>

namespace sardinecourse {

/** Answer to a look at a worker; the report is there if it was carried out. */
struct PollAnswer
{
  OrderOutcome outcome = OrderOutcome::kNotKnown;
  std::optional<WorkerReport> report;

  auto operator<=>(const PollAnswer&) const = default;
};

}
