#pragma once

#include "contracts/worker_report.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a WorkerReport; Build() is empty, with the reason, when it names no
 * life of the worker. */
class WorkerReportBuilder
{
public:
  WorkerReportBuilder& Incarnation(std::int64_t aIncarnation);
  WorkerReportBuilder& ClockMs(std::int64_t aClockMs);
  WorkerReportBuilder& Running(std::vector<RunningTask> aRunning);
  WorkerReportBuilder& Ended(std::vector<EndedTask> aEnded);
  std::optional<WorkerReport> Build(Reason& aReason) const;

private:
  WorkerReport value;
};

}
