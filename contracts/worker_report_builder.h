#pragma once

#include "contracts/worker_report.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a WorkerReport. Build() returns nullopt and sets aReason if the
 * worker's clock is negative. */
class WorkerReportBuilder
{
public:
  WorkerReportBuilder& Incarnation(std::int64_t aIncarnation);
  WorkerReportBuilder& ClockMs(std::int64_t aClockMs);
  WorkerReportBuilder& Age(std::optional<Milliseconds> aAge);
  WorkerReportBuilder& Running(std::vector<RunningTask> aRunning);
  WorkerReportBuilder& Ended(std::vector<EndedTask> aEnded);
  WorkerReportBuilder& IsTruncated(bool aIsTruncated);
  std::optional<WorkerReport> Build(Reason& aReason) const;

private:
  WorkerReport value;
};

}
