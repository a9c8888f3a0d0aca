#pragma once

#include "contracts/run_outcome.h"
#include "contracts/task_address.h"
#include "contracts/worker_report.h"
#include "core/instant.h"
#include "core/names.h"
#include "machines/resources.h"
#include "zones/start_order.h"
#include "zones/stop_order.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

class EventQueue;
class JobStep;
struct ModelJob;
struct ModelSettings;

/**
 * The simulated workers of a fleet. A task runs for the time set in its
 * ModelJob; the members of a gang run together. The slowdown of a worker is
 * sampled when the last member of a unit starts; later changes don't affect
 * the run.
 */
class FleetModel
{
public:
  /** aOnRunEnded is called for each worker of a run when the run ends. */
  FleetModel(const ModelSettings& aSettings,
             EventQueue& aEvents,
             std::uint32_t aSeed,
             std::function<void(const WorkerName&)> aOnRunEnded);

  const std::map<WorkerName, RackName>& Racks() const { return this->racks; }

  void AddJob(const ModelJob& aJob);
  void Start(const StartOrder& aOrder);
  void Stop(const StopOrder& aOrder);
  /** Drops the ends up to aNumber from the worker's reports. */
  void Acknowledge(const WorkerName& aWorker, std::int64_t aNumber);
  WorkerReport ReportOf(const WorkerName& aWorker) const;
  /** Multiplies the run time of units that start on the worker from now on. */
  void SetSlowdown(const WorkerName& aWorker, double aFactor);
  /** Breaks all runs on the worker, drops its unacknowledged ends and starts a
   * new incarnation. */
  void Restart(const WorkerName& aWorker);

  /** Ends the worker for good; its runs break and are not reported. */
  void Leave(const WorkerName& aWorker);
  bool HasLeft(const WorkerName& aWorker) const
  {
    return this->gone.contains(aWorker);
  }
  bool HasRuns(const JobKey& aJob) const;
  /** Resources that the runs on the worker use. */
  Resources UsedOn(const WorkerName& aWorker) const;

  /** Core-seconds of work that was neither finished nor saved. */
  double LostCoreSeconds() const { return this->lostCoreSeconds; }
  /** Units that finished, and those of them that ran remote (away from their
   * data rack, or across racks although they prefer one). */
  int UnitsDone() const { return this->unitsDone; }
  int RemoteUnits() const { return this->remoteUnits; }

private:
  struct UnitRun
  {
    TaskAddress unit;
    std::int64_t run = 0;
    const JobStep* step = nullptr;
    std::map<TaskAddress, WorkerName> memberWorkers;
    std::size_t memberCount = 1;
    bool willFail = false;
    Milliseconds runTime{ 0 };
    /** Share of the work that is in the checkpoint the run resumed from. */
    double saved = 0.0;
    bool isAllRunning = false;
    /** When the first member started; reset when the last one has started. */
    Instant startedAt{};
    Milliseconds duration{ 0 };
    bool hasEnded = false;
    /** A stop order lets a checkpointing task save its progress as it ends. */
    bool isSavedOnStop = false;
  };
  using UnitRunPtr = std::shared_ptr<UnitRun>;

  struct WorkerState
  {
    double runTimeFactor = 1.0;
    double slowdown = 1.0;
    std::int64_t incarnation = 1;
    std::int64_t lastEnd = 0;
    std::map<TaskAddress, UnitRunPtr> runs;
    std::vector<EndedTask> ends;
  };

  UnitRunPtr FindOrCreateRun(const StartOrder& aOrder);
  void StartWork(const UnitRunPtr& aRun);
  bool IsRemote(const UnitRun& aRun) const;
  double DoneShare(const UnitRun& aRun) const;
  double SavedShare(const UnitRun& aRun) const;
  void EndRun(const UnitRunPtr& aRun, RunOutcome aFirst, RunOutcome aOthers);
  void AddLostWork(const UnitRun& aRun, bool aIsFinished);
  Instant Now() const;

  const ModelSettings* settings;
  EventQueue* events;
  std::mt19937 random;
  std::function<void(const WorkerName&)> onRunEnded;
  std::map<WorkerName, RackName> racks;
  std::map<WorkerName, WorkerState> workers;
  std::set<WorkerName> gone;
  std::map<JobKey, const ModelJob*> jobs;
  /** By the unit's first task and the number of the run. */
  std::map<std::pair<TaskAddress, std::int64_t>, UnitRunPtr> runs;
  double lostCoreSeconds = 0.0;
  int unitsDone = 0;
  int remoteUnits = 0;
};

}
