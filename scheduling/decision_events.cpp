#include "scheduling/decision_events.h"

#include "contracts/event_names.h"
#include "core/reason.h"
#include "scheduling/event_line.h"
#include "zones/evacuation/start_admission.h"
#include "zones/given_up_runs.h"
#include "zones/neighbours/kind_pair.h"
#include "zones/pace/pace_change.h"
#include "zones/placed_unit.h"
#include "zones/preempted_unit.h"
#include "zones/reported_end.h"
#include "zones/start_order.h"
#include "zones/stop_order.h"
#include "zones/waits/idle_job.h"

#include <cmath>

namespace sardinecourse {

namespace {

constexpr double kPercent = 100.0;

const char*
PaceClassName(PaceClass aClass)
{
  switch (aClass) {
    case PaceClass::kSlow:
      return "slow";
    case PaceClass::kDoubtful:
      return "doubtful";
    case PaceClass::kFast:
      return "fast";
    default:
      return "typical";
  }
}

void
AddTask(EventLine& aLine, const TaskAddress& aTask, std::int64_t aRun)
{
  aLine.Field("job", aTask.Job().Text())
    .Field("step", aTask.Step())
    .Field("task", aTask.Index())
    .Field("run", aRun);
}

void
EmitOutcome(EventLine& aLine,
            std::int64_t aTerm,
            OrderOutcome aOutcome,
            const Reason& aReason)
{
  aLine.Field("term", aTerm).Field("outcome", OrderOutcomeName(aOutcome));
  if (aOutcome != OrderOutcome::kDone) {
    aLine.Field(aReason);
  }
  aLine.Emit();
}

}

void
LogPlaced(const PlacedUnit& aPlaced, std::int32_t aPriority, std::int64_t aTerm)
{
  EventLine("unit_placed")
    .Field("job", aPlaced.unit.job.Text())
    .Field("unit", static_cast<std::int64_t>(aPlaced.unit.unit))
    .Field("run", aPlaced.run)
    .Field("members", aPlaced.members)
    .Field("racks", aPlaced.racks)
    .Field("cores", static_cast<std::int64_t>(aPlaced.cores))
    .Field("priority", aPriority)
    .Field("waited_ms", aPlaced.waited.count())
    .Field("term", aTerm)
    .Emit();
}

void
LogPreempted(const PreemptedUnit& aPreempted, std::int64_t aTerm)
{
  EventLine("unit_preempted")
    .Field("job", aPreempted.unit.job.Text())
    .Field("unit", static_cast<std::int64_t>(aPreempted.unit.unit))
    .Field("run", aPreempted.run)
    .Field("in_favour_of", aPreempted.inFavourOf.job.Text())
    .Field("lost_core_s", static_cast<std::int64_t>(aPreempted.lostWork))
    .Field("term", aTerm)
    .Emit();
}

void
LogGivenUp(const GivenUpRuns& aGivenUp, std::int64_t aTerm)
{
  EventLine("runs_given_up")
    .Field("worker", aGivenUp.worker.Text())
    .Field("runs", aGivenUp.runs)
    .Field("silent_ms", aGivenUp.silent.count())
    .Field("term", aTerm)
    .Emit();
}

void
LogPaceChange(const PaceChange& aChange, std::int64_t aTerm)
{
  EventLine("worker_pace")
    .Field("worker", aChange.worker.Text())
    .Field("from", PaceClassName(aChange.from))
    .Field("to", PaceClassName(aChange.to))
    .Field("percent", std::llround(aChange.pace * kPercent))
    .Field("term", aTerm)
    .Emit();
}

void
LogDisturbance(const KindPair& aPair, std::int64_t aTerm)
{
  EventLine("kinds_disturb")
    .Field("queue", aPair.kind.queue.Text())
    .Field("accelerators", aPair.kind.need.Accelerators())
    .Field("beside", aPair.beside.queue.Text())
    .Field("beside_accelerators", aPair.beside.need.Accelerators())
    .Field("percent", std::llround(aPair.slowdown * kPercent))
    .Field("term", aTerm)
    .Emit();
}

void
LogPaceCounts(const std::map<PaceClass, std::int64_t>& aCounts,
              std::size_t aChanged,
              std::int64_t aTerm)
{
  EventLine line("paces");
  line.Field("changed", static_cast<std::int64_t>(aChanged));
  for (const auto& [paceClass, count] : aCounts) {
    line.Field(PaceClassName(paceClass), count);
  }
  line.Field("term", aTerm).Emit();
}

void
LogEnd(const WorkerName& aWorker, const ReportedEnd& aReported)
{
  const EndedTask& end = aReported.end;
  EventLine line("run_ended");
  AddTask(line, end.Task(), end.Run());
  line.Field("worker", aWorker.Text())
    .Field("how", RunOutcomeName(end.Outcome()));
  // The log of the order may be lost, or belong to another host.
  if (end.Outcome() == RunOutcome::kStopped) {
    line.Field("cause",
               aReported.cause == StopCause::kNone
                 ? "earlier_term"
                 : StopCauseName(aReported.cause));
  }
  line.Emit();
}

void
LogIdleJob(const IdleJob& aIdle, Instant aNow, std::int64_t aTerm)
{
  const WaitCause& cause = aIdle.cause;
  EventLine line("job_idle");
  line.Field("job", aIdle.job.Text())
    .Field("priority", aIdle.priority)
    .Field("idle_ms", aIdle.idle.count())
    .Field("reason", WaitReasonName(cause.reason));
  if (!cause.worker.Empty()) {
    line.Field("worker", cause.worker.Text());
  }
  if (cause.until) {
    line.Field(
      "until_ms",
      std::chrono::duration_cast<Milliseconds>(*cause.until - aNow).count());
  }
  if (cause.tasks > 0) {
    line.Field("needs", cause.tasks).Field("fits", aIdle.fitting);
  }
  line.Field("term", aTerm).Emit();
}

void
LogStart(const StartOrder& aStart,
         std::int64_t aTerm,
         OrderOutcome aOutcome,
         const Reason& aReason)
{
  EventLine line("start_ordered");
  AddTask(line, aStart.Task(), aStart.Run());
  line.Field("worker", aStart.Worker().Text());
  EmitOutcome(line, aTerm, aOutcome, aReason);
}

void
LogWithheld(const StartOrder& aStart,
            std::int64_t aTerm,
            StartAdmission aAdmission)
{
  EventLine line("start_withheld");
  AddTask(line, aStart.Task(), aStart.Run());
  line.Field("worker", aStart.Worker().Text())
    .Field("cause",
           aAdmission == StartAdmission::kClosed ? "data_centre_closed"
                                                 : "not_confirmed")
    .Field("term", aTerm)
    .Emit();
}

void
LogStop(const StopOrder& aStop,
        std::int64_t aTerm,
        OrderOutcome aOutcome,
        const Reason& aReason)
{
  EventLine line("stop_ordered");
  AddTask(line, aStop.Task(), aStop.Run());
  line.Field("worker", aStop.Worker().Text())
    .Field("cause", StopCauseName(aStop.Cause()));
  EmitOutcome(line, aTerm, aOutcome, aReason);
}

}
