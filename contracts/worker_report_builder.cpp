#include "contracts/worker_report_builder.h"

#include "core/reason.h"

#include <utility>

namespace sardinecourse {

WorkerReportBuilder&
WorkerReportBuilder::Incarnation(std::int64_t aIncarnation)
{
  this->value.incarnation = aIncarnation;
  return *this;
}

WorkerReportBuilder&
WorkerReportBuilder::ClockMs(std::int64_t aClockMs)
{
  this->value.clockMs = aClockMs;
  return *this;
}

WorkerReportBuilder&
WorkerReportBuilder::Age(std::optional<Milliseconds> aAge)
{
  this->value.age = aAge;
  return *this;
}

WorkerReportBuilder&
WorkerReportBuilder::Running(std::vector<RunningTask> aRunning)
{
  this->value.running = std::move(aRunning);
  return *this;
}

WorkerReportBuilder&
WorkerReportBuilder::Ended(std::vector<EndedTask> aEnded)
{
  this->value.ended = std::move(aEnded);
  return *this;
}

WorkerReportBuilder&
WorkerReportBuilder::IsTruncated(bool aIsTruncated)
{
  this->value.isTruncated = aIsTruncated;
  return *this;
}

std::optional<WorkerReport>
WorkerReportBuilder::Build(Reason& aReason) const
{
  if (this->value.clockMs < 0) {
    aReason =
      Reason(Step::kDecode, "", "the worker's clock must not be negative");
    return std::nullopt;
  }
  return this->value;
}

}
