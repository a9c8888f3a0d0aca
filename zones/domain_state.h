#pragma once

#include "contracts/domain_timing.h"
#include "contracts/domain_usage.h"
#include "contracts/task_address.h"
#include "core/instant.h"
#include "core/names.h"
#include "zones/evacuation/evacuation_view.h"
#include "zones/evacuation/start_admission.h"
#include "zones/fairness/service_history.h"
#include "zones/lease_bound_record.h"
#include "zones/neighbours/neighbour_effects.h"
#include "zones/pace/worker_paces.h"
#include "zones/queue_run_times.h"
#include "zones/reported_end.h"
#include "zones/start_order.h"
#include "zones/stop_order.h"
#include "zones/tracked_job.h"
#include "zones/tracked_worker.h"
#include "zones/worker_outlook.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

class DomainPolicy;
class RunningTask;
class WorkerReport;
struct MeasuredRun;

/** State of a scheduling domain as its holder tracks it: jobs, workers, and
 * which runs may be on which worker. Events update it, and DomainPass makes
 * decisions from it. It does no I/O and reads no clock. */
class DomainState
{
public:
  /** aHolderSince is when this host became the holder of the domain, and
   * aRenewedUntil the latest time at which an earlier holder may have renewed a
   * worker's lease. */
  DomainState(DomainTiming aTiming,
              Instant aHolderSince,
              Instant aRenewedUntil);

  const DomainTiming& Timing() const { return this->timing; }

  /** Adds a job with its stored progress; a job that is tracked already or
   * archived stays unchanged. aRevision is that of the stored progress row, and
   * aAge the time since the job was admitted. */
  void AddJob(AdmittedJob aJob,
              const std::optional<JobProgress>& aProgress,
              std::int64_t aRevision,
              Instant aNow,
              Milliseconds aAge = Milliseconds(0));
  /** When the latest job that was added was admitted; an instant long ago
   * before that. */
  Instant LastArrival() const { return this->lastArrival; }
  /** When this host became the holder of the domain. */
  Instant HolderSince() const { return this->holderSince; }
  void CancelJob(const JobKey& aJob, Instant aNow);
  TrackedJob* FindJob(const JobKey& aJob);
  std::map<JobKey, TrackedJob>& Jobs() { return this->jobs; }
  const std::map<JobKey, TrackedJob>& Jobs() const { return this->jobs; }
  /** Jobs that are not final, or whose runs may not have ended yet. */
  const std::set<JobKey>& Active() const { return this->active; }
  void Retire(const JobKey& aJob) { this->active.erase(aJob); }
  /** How the jobs that have ended in this term were served. */
  const ServiceHistory& Served() const { return this->served; }
  ServiceHistory& Served() { return this->served; }

  /** Number of accelerators that each team is guaranteed for jobs of priority
   * 0. */
  void SetGuarantees(std::map<TeamName, std::int64_t> aGuarantees);
  std::int64_t GuaranteeOf(const TeamName& aTeam) const;

  /** Names of the queues in force, by address. */
  void SetQueueNames(std::map<QueueAddress, QueueName> aNames);

  /** The evacuated data centres, whose workers get no new tasks. */
  void SetEvacuations(EvacuationView aView);
  const EvacuationView& Evacuations() const { return this->evacuations; }
  /** Whether a start may be sent to the worker. */
  StartAdmission AdmitStartOn(const WorkerName& aWorker, Instant aNow) const;
  /** Whether starts wait until the evacuated data centres are confirmed. */
  bool AreStartsWithheld(Instant aNow) const;

  void ListWorker(const WorkerListing& aListing, Instant aNow);
  void UnlistWorker(const WorkerName& aWorker);
  TrackedWorker* FindWorker(const WorkerName& aWorker);
  std::map<WorkerName, TrackedWorker>& Workers() { return this->workers; }
  const std::map<WorkerName, TrackedWorker>& Workers() const
  {
    return this->workers;
  }
  /** What placement takes into account of the worker. */
  WorkerOutlook OutlookOf(const TrackedWorker& aWorker) const;
  /** Starts to measure what the policy takes into account. */
  void ApplyPolicy(const DomainPolicy& aPolicy);
  /** The measured paces; null while they are not measured. */
  WorkerPaces* Paces() { return this->paces ? &*this->paces : nullptr; }
  /** The measured paces; null while they are not used. */
  const WorkerPaces* UsedPaces() const
  {
    return this->isPaceUsed ? &*this->paces : nullptr;
  }
  /** Adopts the paces that an earlier holder stored. */
  void LoadPaces(const PaceRecords& aRecords, Instant aNow);
  /** Which kinds of work disturb each other; null while that is not measured.
   */
  NeighbourEffects* Neighbours()
  {
    return this->neighbours ? &*this->neighbours : nullptr;
  }
  /** The kind of the unit's tasks, if it is known to be disturbed by another or
   * to disturb it. */
  std::optional<NeighbourEffects::Kind> DisturbedKindOf(
    const TrackedJob& aJob,
    const TaskUnit& aUnit) const;
  /** What placement takes into account of the worker for tasks of a kind. */
  WorkerOutlook OutlookFor(const WorkerName& aWorker,
                           const WorkerOutlook& aOutlook,
                           NeighbourEffects::Kind aKind) const;
  /** Pace of the unit's run: that of its slowest member. */
  double PaceOf(const TaskUnit& aUnit) const;
  /** Whether a run may still be on the worker, including one that an earlier
   * holder started. */
  bool MayStillRun(const WorkerName& aWorker, Instant aNow) const;
  /** By when every lease on the worker has expired. */
  Instant LeaseBoundOf(const WorkerName& aWorker, Instant aNow) const;
  /** Adopts the bounds of the leases on unreachable workers that earlier
   * holders stored; see LeaseBoundRecord::Adopt(). */
  void AdoptLeaseBounds(const LeaseBounds& aStored,
                        std::int64_t aKeptSince,
                        const StoreClock& aClock);
  /** Adopts which leaving workers have had short leases only under earlier
   * holders, with the time by which longer ones have expired. */
  void AdoptLeavingLeases(const LeaseBounds& aStored,
                          std::int64_t aKeptSince,
                          const StoreClock& aClock);
  /** Whether the stored bounds of the leases on unreachable or leaving workers
   * have to change. */
  bool AreLeaseBoundsDue(Instant aNow) const;
  /** The bounds to store now. A worker that is in them gets no lease until
   * LeaseBoundsAnswered() has shown that the store does not hold its bound. */
  LeaseBounds PlanLeaseBounds(std::int64_t aTerm,
                              const StoreClock& aClock,
                              Instant aNow);
  /** The leaving workers to store now. A worker that is in them gets short
   * leases only, until LeaseBoundsAnswered() has shown that the store does not
   * hold it. */
  LeaseBounds PlanLeavingLeases(std::int64_t aTerm,
                                const StoreClock& aClock,
                                Instant aNow);
  /** Applies the outcome of the write of both plans. */
  void LeaseBoundsAnswered(WriteOutcome aOutcome);
  /** When the worker last answered this holder, or the start of the term when
   * it never did. */
  Instant SilentSince(const WorkerName& aWorker) const;

  /** Applies the answer to the latest poll, for which GrantLease() was called;
   * aSent is when it was sent. Returns the ended runs that were not reported
   * before. */
  std::vector<ReportedEnd> ApplyReport(const WorkerName& aWorker,
                                       const WorkerReport& aReport,
                                       Instant aSent,
                                       Instant aReceived);
  /** Time on the worker's clock, in ms, from which the worker refuses the start
   * that is about to be sent; empty when the start is not needed any more or
   * must not be sent to the worker. */
  std::optional<std::int64_t> StartDeadlineMs(const StartOrder& aOrder,
                                              Instant aNow);
  /** Time on the worker's clock, in ms, until which the poll that is about to
   * be sent renews the worker's lease; 0 when it must not be renewed. Records
   * the granted lease. */
  std::int64_t GrantLease(const WorkerName& aWorker, Instant aNow);
  /** Fence that an order to the worker carries; see OrderFence. */
  std::int64_t FenceOf(const WorkerName& aWorker) const;
  /** Number of reports after which the worker's lease may be the longest that
   * a worker grants, because an order to an earlier incarnation of it may have
   * renewed the lease. */
  std::int64_t LongLeases() const { return this->longLeases; }
  /** Records that a poll failed or was not answered. The worker gets no new
   * tasks until a poll is answered; what runs on it stays. */
  void PollFailed(const WorkerName& aWorker);
  /** Records that the worker was replaced: nothing runs on this incarnation any
   * more. */
  void WorkerReplaced(const WorkerName& aWorker);
  void StartAnswered(const StartOrder& aOrder, Instant aNow);
  /** Records that the worker refused the start. The worker gets no start for a
   * while, longer after each further refusal. */
  void StartRefused(const StartOrder& aOrder, Instant aNow);
  /** Records that the start was not sent. */
  void StartDropped(const StartOrder& aOrder);
  /** Records that the start was not answered: the order may have been carried
   * out, or may be carried out later. */
  void StartUnanswered(const StartOrder& aOrder, Instant aNow);
  void StopAnswered(const StopOrder& aOrder, Instant aNow);

  /** Starts a run of the unit and returns its orders, which must not be sent
   * before the job's version is stored. aPlaces has one worker for each task.
   */
  std::vector<StartOrder> StartRun(TrackedJob& aJob,
                                   TaskUnit& aUnit,
                                   const std::vector<WorkerName>& aPlaces,
                                   Instant aNow);
  /** Records that a member does not run any more, and frees its resources. */
  void MarkMemberGone(TrackedJob& aJob, TaskUnit& aUnit, std::int32_t aIndex);
  /** Orders to stop runs that workers reported and no unit accounts for; the
   * call clears the list. */
  std::vector<StopOrder> TakeOrphans();

  /** Jobs whose progress has changed since it was last stored. */
  std::vector<JobKey> DirtyJobs() const;
  /** Highest number of an ended run that may be acknowledged to the worker; 0
   * for none. Removes the acknowledgeable ends from the list of unstored ones.
   */
  std::int64_t AcknowledgeableEnd(const WorkerName& aWorker, Instant aNow);

  /** Jobs, at most aMax, that have been final for the archive delay and that
   * nothing runs of any more. */
  std::vector<JobKey> JobsToArchive(Instant aNow, std::size_t aMax) const;
  /** Records that a job's final state is archived; stops tracking the job. */
  void Archived(const JobKey& aJob, Instant aNow);
  /** Archived jobs, at most aMax, whose retention time has passed. */
  std::vector<JobKey> ArchivedPastRetention(Instant aNow,
                                            std::size_t aMax) const;
  /** Records that the archived state of a job was deleted. */
  void ForgetArchived(const JobKey& aJob) { this->archived.erase(aJob); }
  /** Whether leases and progress, which change with time alone, are due for a
   * check; returns true at most once per interval. */
  bool IsSweepDue(Instant aNow);
  const QueueRunTimes& RunTimes() const { return this->runTimes; }

  /** Number of accepted jobs of each queue of which no task was confirmed to
   * have started. A queue counts under the name in force. */
  std::map<QueueName, std::int64_t> Pending() const;
  /** Memory that the tracked jobs take. */
  DomainUsage Usage() const;

  static TaskAddress AddressOf(const TrackedJob& aJob,
                               const TaskUnit& aUnit,
                               std::int32_t aIndex);
  static StopOrder StopOf(const WorkerName& aWorker,
                          const TaskAddress& aTask,
                          std::int64_t aRun,
                          StopCause aCause);

private:
  bool IsUnreachable(const WorkerName& aWorker, Instant aNow) const;
  /** Bounds that the store should hold. */
  std::map<WorkerName, Instant> WantedLeaseBounds(Instant aNow) const;
  /** Records the longest lease that earlier orders may have brought a worker
   * which has restarted, or which answers this holder for the first time. */
  void RecordEarlierLeases(TrackedWorker& aWorker,
                           const WorkerReport& aReport,
                           bool aIsFirst,
                           bool aIsRestarted);
  /** Leaving workers that the store should hold, with the time by which longer
   * leases than theirs have expired. */
  std::map<WorkerName, Instant> WantedLeavingLeases(Instant aNow) const;
  void UpdateWithheld();
  const QueueName& CurrentQueueName(const AdmittedJob& aJob) const;
  void AllocateResources(const TrackedJob& aJob,
                         const TaskUnit& aUnit,
                         TrackedWorker& aWorker);
  /** Empty when the end was reported before. */
  std::optional<ReportedEnd> ApplyEnd(TrackedWorker& aWorker,
                                      const EndedTask& aEnd,
                                      Instant aNow);
  void NoteRunTime(const TrackedJob& aJob, const TaskUnit& aUnit, Instant aNow);
  void MeasurePaces();
  static KindOfWork KindOfWorkOf(const TrackedJob& aJob, const TaskUnit& aUnit);
  /** Records what runs beside what on the worker. */
  void NoteNeighbours(const TrackedWorker& aWorker,
                      const WorkerReport& aReport);
  bool IsRemote(const TrackedJob& aJob, const TaskUnit& aUnit) const;
  MeasuredRun MeasuredRunOf(const TrackedJob& aJob,
                            const TaskUnit& aUnit,
                            std::int32_t aIndex) const;
  void ApplyRunning(TrackedWorker& aWorker,
                    const RunningTask& aRunning,
                    Instant aNow,
                    StrayUsage& aStrays);
  void ApplyMissing(TrackedWorker& aWorker,
                    const WorkerReport& aReport,
                    bool aIsRestarted,
                    Instant aSent);
  /** A run of a task with its job, unit and member; each pointer is null when
   * that part is not found. */
  struct FoundRun
  {
    TrackedJob* job = nullptr;
    TaskUnit* unit = nullptr;
    MemberRun* member = nullptr;
  };
  FoundRun FindRun(const TaskAddress& aTask, std::int64_t aRun);

  DomainTiming timing;
  Instant holderSince;
  Instant renewedUntil;
  Instant lastArrival{};
  std::map<JobKey, TrackedJob> jobs;
  std::set<JobKey> active;
  /** Bytes of the tracked jobs of each team; see IntakeBytesOf(). */
  std::map<TeamName, std::int64_t> usedBytes;
  /** Archived jobs, with the time from which their retention counts. */
  std::map<JobKey, Instant> archived;
  std::map<WorkerName, TrackedWorker> workers;
  /** Workers that were not listed when a job with runs on them was added. */
  std::set<WorkerName> unlistedPlaces;
  LeaseBoundRecord leaseBounds;
  LeaseBoundRecord leavingLeases;
  std::int64_t longLeases = 0;
  std::map<TeamName, std::int64_t> guarantees;
  std::map<QueueAddress, QueueName> queueNames;
  std::vector<StopOrder> orphans;
  EvacuationView evacuations;
  QueueRunTimes runTimes;
  /** Whether paces are used; they are also measured for the neighbours. */
  bool isPaceUsed = false;
  std::optional<WorkerPaces> paces;
  std::optional<NeighbourEffects> neighbours;
  ServiceHistory served;
  Instant lastSweep{};
};

}
