#pragma once

#include "contracts/domain_policy.h"
#include "contracts/job_progress.h"
#include "tests/model/event_queue.h"
#include "tests/model/fleet_model.h"
#include "tests/model/idle_wait_check.h"
#include "tests/model/model_figures.h"
#include "zones/domain_state.h"
#include "zones/preemption_reservations.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

struct ModelJob;
struct ModelSettings;

/**
 * Simulates the holder of a scheduling domain on a FleetModel. It runs the
 * production DomainState and DomainPass; messages and commits take the times
 * that they take on the users' test bench. It loses no messages; DomainWorld
 * covers those.
 */
class DomainModel
{
public:
  DomainModel(const ModelSettings& aSettings,
              const std::vector<ModelJob>& aJobs,
              DomainPolicy aPolicy,
              std::uint32_t aSeed);

  /** Simulates until every job is final or the time limit is reached. */
  ModelFigures Run();

private:
  void PrepareDomain();
  void TakeOver();
  bool IsOver(std::int64_t aTerm) const;
  void ObserveIdleWaits();
  void StoreCancelled(const JobKey& aJob);
  void AddTroubles();
  void AddTrouble(const WorkerName& aWorker, std::size_t aTrouble);
  void AddArrivals();
  void SubmitJob(const ModelJob& aJob);
  void PollPeriodically(const WorkerName& aWorker);
  void Poll(const WorkerName& aWorker);
  void RequestPass();
  void RunPassPeriodically();
  void RunPass();
  void StoreDirtyJobs();
  void SendStoredStarts();
  void SendStart(const StartOrder& aOrder);
  void SendStop(const StopOrder& aOrder);
  void RecordFinal(const JobKey& aJob);
  void AccumulateFreeAccelerators();
  bool IsComplete() const;
  bool IsCounted(const ModelJob& aJob) const;
  double CreditOf(const ModelJob& aJob) const;
  void ComputeFigures();

  const ModelSettings* settings;
  const std::vector<ModelJob>* jobs;
  DomainPolicy policy;
  EventQueue events;
  Instant start;
  std::mt19937 random;
  FleetModel fleet;
  std::optional<DomainState> domain;
  /** Counts the holders. */
  std::int64_t term = 0;
  IdleWaitCheck idleWaits;
  /** Stored progress of each job, as another holder would load it. */
  std::map<JobKey, std::optional<JobProgress>> stored;
  std::set<JobKey> cancelled;
  PreemptionReservations reservations;
  std::map<JobKey, const ModelJob*> jobsByKey;
  std::map<JobKey, Instant> firstStarts;
  /** When callers can first read a job's final state, and that state. */
  std::map<JobKey, std::pair<Instant, JobState>> reportedFinal;
  std::set<WorkerName> pollsInFlight;
  /** Start orders that wait until their job's new version is stored. */
  std::vector<StartOrder> pendingStarts;
  bool isPassScheduled = false;
  bool isStoreScheduled = false;
  Instant accumulatedUntil{};
  std::int64_t revision = 0;
  ModelFigures figures;
};

}
