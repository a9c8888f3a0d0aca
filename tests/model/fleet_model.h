#pragma once

#include "contracts/run_outcome.h"
#include "contracts/task_address.h"
#include "contracts/worker_report.h"
#include "core/instant.h"
#include "core/names.h"
#include "zones/start_order.h"
#include "zones/stop_order.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sardinecourse {

class EventQueue;
class JobStep;
struct ModelJob;
struct ModelSettings;

/**
 * The workers of a model: what they are given runs for the time that the model
 * knows, a gang's members together. A worker's slowness counts as it is when a
 * run is whole.
 */
class FleetModel
{
public:
  /** aEnded is called with each worker on which a run has ended. */
  FleetModel(const ModelSettings& aSettings,
             EventQueue& aEvents,
             std::uint32_t aSeed,
             std::function<void(const WorkerName&)> aEnded);

  const std::map<WorkerName, RackName>& Racks() const { return this->racks; }

  void AddJob(const ModelJob& aJob);
  void Start(const StartOrder& aOrder);
  void Stop(const StopOrder& aOrder);
  void Acknowledge(const WorkerName& aWorker, std::int64_t aNumber);
  WorkerReport ReportOf(const WorkerName& aWorker) const;
  void Slow(const WorkerName& aWorker, double aFactor);
  /** Everything on the worker is gone, and another life begins. */
  void Restart(const WorkerName& aWorker);

  /** Work in core-seconds that was not finished and not saved. */
  double ThrownAway() const { return this->thrownAway; }
  /** Runs of units that ended done, and those that were far. */
  int Done() const { return this->done; }
  int Far() const { return this->far; }

private:
  struct UnitRun
  {
    TaskAddress unit;
    std::int64_t run = 0;
    const JobStep* step = nullptr;
    std::map<TaskAddress, WorkerName> places;
    std::size_t wanted = 1;
    bool fails = false;
    Milliseconds work{ 0 };
    /** Part of the work that the checkpoint holds. */
    double saved = 0.0;
    bool isWhole = false;
    Instant since{};
    Milliseconds length{ 0 };
    bool isOver = false;
    /** A stop lets a checkpointing task save what it has done. */
    bool isSavedAtEnd = false;
  };
  using UnitRunPtr = std::shared_ptr<UnitRun>;

  struct WorkerState
  {
    double speed = 1.0;
    double slowness = 1.0;
    std::int64_t incarnation = 1;
    std::int64_t lastEnd = 0;
    std::map<TaskAddress, UnitRunPtr> runs;
    std::vector<EndedTask> ends;
  };

  UnitRunPtr RunFor(const StartOrder& aOrder);
  void BeginWhole(const UnitRunPtr& aRun);
  bool IsRemote(const UnitRun& aRun) const;
  double DoneOf(const UnitRun& aRun) const;
  double SavedOf(const UnitRun& aRun) const;
  void End(const UnitRunPtr& aRun, RunOutcome aFirst, RunOutcome aOthers);
  void NoteThrownAway(const UnitRun& aRun, bool aIsFinished);
  Instant Now() const;

  const ModelSettings* settings;
  EventQueue* events;
  std::mt19937 random;
  std::function<void(const WorkerName&)> ended;
  std::map<WorkerName, RackName> racks;
  std::map<WorkerName, WorkerState> workers;
  std::map<JobKey, const ModelJob*> jobs;
  /** By the first task of the unit and the run. */
  std::map<std::pair<TaskAddress, std::int64_t>, UnitRunPtr> runs;
  double thrownAway = 0.0;
  int done = 0;
  int far = 0;
};

}
