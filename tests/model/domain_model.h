#pragma once

#include "contracts/domain_policy.h"
#include "tests/model/event_queue.h"
#include "tests/model/fleet_model.h"
#include "tests/model/model_figures.h"
#include "zones/domain_state.h"
#include "zones/preemption_reservations.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sardinecourse {

struct ModelJob;
struct ModelSettings;

/**
 * The holder of a scheduling domain on modelled workers: the real book and the
 * real passes, with messages that take the times that they take on the users'
 * bench. It has one holder and no lost messages; DomainWorld has those.
 */
class DomainModel
{
public:
  DomainModel(const ModelSettings& aSettings,
              const std::vector<ModelJob>& aJobs,
              DomainPolicy aPolicy,
              std::uint32_t aSeed);

  ModelFigures Run();

private:
  void AddTroubles();
  void AddTrouble(const WorkerName& aWorker, std::size_t aTrouble);
  void AddArrivals();
  void Arrive(const ModelJob& aJob);
  void LookNowAndThen(const WorkerName& aWorker);
  void Poll(const WorkerName& aWorker);
  void RequestPass();
  void PassNowAndThen();
  void Pass();
  void Store();
  void SendStored();
  void SendStart(const StartOrder& aOrder);
  void SendStop(const StopOrder& aOrder);
  void NoteFinal(const JobKey& aJob);
  void Account();
  bool IsOver() const;
  bool IsOwed(const ModelJob& aJob) const;
  double Credit(const ModelJob& aJob) const;
  void Finish();

  const ModelSettings* settings;
  const std::vector<ModelJob>* jobs;
  DomainPolicy policy;
  EventQueue events;
  Instant start;
  std::mt19937 random;
  FleetModel fleet;
  DomainState domain;
  PreemptionReservations held;
  std::map<JobKey, const ModelJob*> byKey;
  std::map<JobKey, Instant> begun;
  /** When callers were shown that a job is final, and which way. */
  std::map<JobKey, std::pair<Instant, JobState>> shown;
  std::set<WorkerName> looking;
  std::vector<StartOrder> staged;
  bool isPassDue = false;
  bool isStoreDue = false;
  Instant accounted{};
  std::int64_t revision = 0;
  ModelFigures figures;
};

}
