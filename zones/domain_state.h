#pragma once

#include "contracts/domain_timing.h"
#include "contracts/ended_task.h"
#include "contracts/task_address.h"
#include "core/instant.h"
#include "core/names.h"
#include "zones/queue_run_times.h"
#include "zones/start_order.h"
#include "zones/stop_order.h"
#include "zones/tracked_job.h"
#include "zones/tracked_worker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

class RunningTask;
class WorkerReport;

/**
 * What the holder of a scheduling domain knows: its jobs, its workers, and
 * which runs may be on which worker. Events change it; a DomainPass decides on
 * what it says. It does no I/O and reads no clock.
 */
class DomainState
{
public:
  /** aBegan is when this host became the holder. */
  DomainState(DomainTiming aTiming, Instant aBegan);

  const DomainTiming& Timing() const { return this->timing; }

  /** Takes in a job; a job that is known already stays as it is. */
  void AddJob(AdmittedJob aJob,
              const std::optional<JobProgress>& aProgress,
              std::int64_t aRevision,
              Instant aNow);
  void CancelJob(const JobKey& aJob, Instant aNow);
  void RemoveJob(const JobKey& aJob);
  TrackedJob* FindJob(const JobKey& aJob);
  std::map<JobKey, TrackedJob>& Jobs() { return this->jobs; }
  const std::map<JobKey, TrackedJob>& Jobs() const { return this->jobs; }
  /** Jobs that are not final, or whose tasks may still run. */
  const std::set<JobKey>& Active() const { return this->active; }
  void Retire(const JobKey& aJob) { this->active.erase(aJob); }

  /** Accelerators that each team is guaranteed for jobs of priority 0. */
  void SetGuarantees(std::map<TeamName, std::int64_t> aGuarantees);
  std::int64_t GuaranteeOf(const TeamName& aTeam) const;

  void ListWorker(const WorkerListing& aListing, Instant aNow);
  void UnlistWorker(const WorkerName& aWorker);
  TrackedWorker* FindWorker(const WorkerName& aWorker);
  std::map<WorkerName, TrackedWorker>& Workers() { return this->workers; }
  const std::map<WorkerName, TrackedWorker>& Workers() const
  {
    return this->workers;
  }
  /** Whether an earlier holder's run may still be on a worker. */
  bool MayStillRun(const WorkerName& aWorker, Instant aNow) const;

  /** Takes in the answer to a look that was sent at aSent; gives the ends that
   * it was the first to list. */
  std::vector<EndedTask> ApplyReport(const WorkerName& aWorker,
                                     const WorkerReport& aReport,
                                     Instant aSent,
                                     Instant aReceived);
  /** Time on the worker's clock from which it refuses the start that is about
   * to be sent; empty when the start is not wanted any more. */
  std::optional<std::int64_t> StartDeadlineMs(const StartOrder& aOrder,
                                              Instant aNow);
  /** Until when a look renews the worker's lease, on the worker's clock; 0 when
   * it must not. Notes what is granted. */
  std::int64_t GrantLease(const WorkerName& aWorker, Instant aNow);
  /** A look got no answer. */
  void PollFailed(const WorkerName& aWorker);
  /** Notes that the worker's life is over: nothing runs on it any more. */
  void WorkerReplaced(const WorkerName& aWorker);
  void StartAnswered(const StartOrder& aOrder, Instant aNow);
  /** The worker refused, or the order was never sent. */
  void StartRefused(const StartOrder& aOrder);
  /** No answer: the order may have been carried out, or may be later. */
  void StartUnanswered(const StartOrder& aOrder, Instant aNow);
  void StopAnswered(const StopOrder& aOrder, Instant aNow);

  /** Starts a unit; the orders must not be sent before the job's version is
   * stored. */
  std::vector<StartOrder> StartRun(TrackedJob& aJob,
                                   TaskUnit& aUnit,
                                   const std::vector<WorkerName>& aPlaces,
                                   Instant aNow);
  /** Notes that a member certainly does not run any more. */
  void MarkMemberGone(TrackedJob& aJob, TaskUnit& aUnit, std::int32_t aIndex);
  /** Runs that a worker lists and nobody wants; emptied by the call. */
  std::vector<StopOrder> TakeOrphans();

  /** Jobs whose progress has to be stored. */
  std::vector<JobKey> DirtyJobs() const;
  /** Highest end of the worker that may be acknowledged. */
  std::int64_t AcknowledgeableEnd(const WorkerName& aWorker, Instant aNow);

  /** Jobs that were final for as long as their state is kept, at most aMost. */
  std::vector<JobKey> JobsPastRetention(Instant aNow, std::size_t aMax) const;
  /** Whether what only time changes has to be looked at; true now and then. */
  bool IsSweepDue(Instant aNow);
  const QueueRunTimes& RunTimes() const { return this->runTimes; }

  /** Accepted jobs of each queue of which no task was started. */
  std::map<QueueName, std::int64_t> Pending() const;

  static TaskAddress AddressOf(const TrackedJob& aJob,
                               const TaskUnit& aUnit,
                               std::int32_t aIndex);
  static StopOrder StopOf(const WorkerName& aWorker,
                          const TaskAddress& aTask,
                          std::int64_t aRun,
                          StopCause aCause);

private:
  void AllocateResources(const TrackedJob& aJob,
                         const TaskUnit& aUnit,
                         TrackedWorker& aWorker);
  bool ApplyEnd(TrackedWorker& aWorker, const EndedTask& aEnd, Instant aNow);
  void NoteRunTime(const TrackedJob& aJob, const TaskUnit& aUnit, Instant aNow);
  void ApplyRunning(TrackedWorker& aWorker,
                    const RunningTask& aRunning,
                    Instant aNow,
                    Resources& aOrphans);
  void ApplyMissing(TrackedWorker& aWorker,
                    const WorkerReport& aReport,
                    bool aIsRestarted,
                    Instant aSent);
  /** A run of a task, found step by step; null from where it is not known. */
  struct FoundRun
  {
    TrackedJob* job = nullptr;
    TaskUnit* unit = nullptr;
    MemberRun* member = nullptr;
  };
  FoundRun FindRun(const TaskAddress& aTask, std::int64_t aRun);

  DomainTiming timing;
  Instant began;
  std::map<JobKey, TrackedJob> jobs;
  std::set<JobKey> active;
  std::map<WorkerName, TrackedWorker> workers;
  std::map<TeamName, std::int64_t> guarantees;
  std::vector<StopOrder> orphans;
  QueueRunTimes runTimes;
  Instant lastSweep{};
};

}
