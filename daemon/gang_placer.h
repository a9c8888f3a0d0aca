#pragma once

#include "contracts/placement_weights.h"
#include "daemon/decision_log.h"
#include "daemon/gang_runner.h"
#include "zones/data_centre.h"
#include "zones/data_centre_load_builder.h"
#include "zones/running_gang_conversion.h"
#include "zones/schedule.h"
#include "zones/waiting_job_builder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <set>

namespace sardinecourse {

/** Places waiting jobs: collects the inputs of Schedule() and passes its
 * decisions to the GangRunner. */
template<PlatformTable Table, WorkerLink Link, CommandFence Fence>
class GangPlacer
{
public:
  using Gangs = std::vector<GangStatus>;
  using Runner = GangRunner<Table, Link, Fence>;

  GangPlacer(boost::asio::io_context& aContext,
             const WorkerTaskCache<Link>& aTaskCache,
             const JobRecordCache<Table>& aJobRecords,
             Runner& aRunner)
    : context(&aContext)
    , taskCache(&aTaskCache)
    , jobRecords(&aJobRecords)
    , runner(&aRunner)
    , logger(log4cplus::Logger::getInstance("placement"))
  {
  }

  /** Applies settings. A worker is quarantined after aQuarantineFailures failed
   * starts in a row. */
  void Adopt(const DataCentre& aDataCentre,
             PlacementWeights aWeights,
             std::int64_t aQuarantineFailures)
  {
    this->dataCentre = aDataCentre;
    this->weights = aWeights;
    this->quarantineFailures = aQuarantineFailures;
  }

  const DecisionLog& Decisions() const { return this->decisions; }

  /** Makes scheduling decisions for all waiting jobs and carries them out. */
  void Place(const Gangs& aGangs, std::int64_t aTerm, Instant aNow)
  {
    const std::vector<WaitingJob> waiting = this->Waiting(aGangs);
    if (waiting.empty()) {
      return;
    }
    Reason reason;
    const std::optional<DataCentreLoad> load = this->Load(aGangs, aNow, reason);
    if (!load) {
      LOG4CPLUS_ERROR(
        this->logger,
        "cannot build the load of the data centre: " << reason.Message());
      return;
    }
    const ScheduleDecision decision =
      Schedule(*load, waiting, this->weights, aNow);
    for (const GangStart& start : decision.Starts()) {
      this->StartGang(start, aTerm);
    }
    for (const Preemption& preemption : decision.Preemptions()) {
      this->Preempt(aGangs, preemption);
    }
    for (const JobWait& wait : decision.Waits()) {
      this->RecordDecision({ wait.Team(), wait.Key() },
                           "waits: " + wait.Text());
    }
  }

private:
  static constexpr Milliseconds kQuarantineStep{ 30000 };

  void Spawn(boost::asio::awaitable<void> aTask)
  {
    boost::asio::co_spawn(
      *this->context, std::move(aTask), boost::asio::detached);
  }

  void StartGang(const GangStart& aStart, std::int64_t aTerm)
  {
    const JobIdentity job{ aStart.Request().Team(), aStart.Request().Key() };
    const auto* entry = this->jobRecords->Find(job);
    if (entry == nullptr) {
      return;
    }
    this->RecordDecision(job,
                         "placed: rack=" + aStart.Placement().Rack().Text() +
                           " " + aStart.Text());
    std::vector<Task> tasks =
      this->runner->Prepare(entry->record, aStart.Placement(), aTerm);
    this->Spawn(this->runner->Start(std::move(tasks)));
  }

  void Preempt(const Gangs& aGangs, const Preemption& aPreemption)
  {
    for (const GangStatus& gang : aGangs) {
      const bool isVictim = gang.Team() == aPreemption.Team() &&
                            gang.Key() == aPreemption.Key() &&
                            gang.Phase() == GangPhase::kRunning;
      if (isVictim && !this->runner->IsBusy(gang)) {
        this->RecordDecision(
          { gang.Team(), gang.Key() },
          "preempted: for team=" + aPreemption.BeneficiaryTeam().Text() +
            " job=" + aPreemption.Beneficiary().Text() + " " +
            aPreemption.Text());
        this->Spawn(this->runner->Preempt(gang, aPreemption.Text()));
      }
    }
  }

  /** Jobs without a final state that have no task on any worker and are not
   * being started. */
  std::vector<WaitingJob> Waiting(const Gangs& aGangs) const
  {
    std::set<JobIdentity> placed;
    for (const GangStatus& gang : aGangs) {
      placed.insert({ gang.Team(), gang.Key() });
    }
    std::vector<WaitingJob> waiting;
    for (const auto& [job, entry] : this->jobRecords->Jobs()) {
      const bool isWaiting = !IsFinal(entry.record.State()) &&
                             !placed.contains(job) &&
                             !this->runner->IsStarting(job);
      Reason reason;
      const auto value = WaitingJobBuilder()
                           .Request(entry.record.Request())
                           .Submitted(entry.firstSeen)
                           .Build(reason);
      if (isWaiting && value) {
        waiting.push_back(*value);
      }
    }
    return waiting;
  }

  std::optional<DataCentreLoad> Load(const Gangs& aGangs,
                                     Instant aNow,
                                     Reason& aReason)
  {
    std::vector<RunningGang> running;
    std::vector<WorkerName> unavailable = this->Unavailable(aNow);
    std::vector<GangStatus> all = aGangs;
    for (const GangStatus& gang : AssessGangs(this->runner->Starting(), {})) {
      all.push_back(gang);
    }
    std::set<std::pair<TaskName, std::size_t>> seen;
    for (const GangStatus& gang : all) {
      const Task& first = gang.Tasks().front();
      const bool isNew = seen.insert({ first.Name(), 0 }).second;
      if (!gang.Occupies() || !isNew) {
        continue;
      }
      // The remaining members of a broken gang are being stopped. Until they
      // have ended, nothing else is started on their workers.
      if (gang.Phase() == GangPhase::kBroken) {
        for (const Task& task : gang.Tasks()) {
          unavailable.push_back(task.Range().Worker());
        }
        continue;
      }
      const Worker* worker = this->taskCache->Find(first.Range().Worker());
      const auto view =
        MakeRunningGang(gang,
                        worker == nullptr ? RackName() : worker->Rack(),
                        this->taskCache->ReleasedAt(first));
      if (view) {
        running.push_back(*view);
      }
    }
    return DataCentreLoadBuilder()
      .DataCentre(this->dataCentre.Name())
      .Workers(this->dataCentre.Workers())
      .Teams(this->dataCentre.Teams())
      .Running(std::move(running))
      .Unavailable(std::move(unavailable))
      .Build(aReason);
  }

  /** Workers that are unreachable, or quarantined because of failed starts. */
  std::vector<WorkerName> Unavailable(Instant aNow)
  {
    std::vector<WorkerName> names = this->taskCache->Unusable();
    for (const auto& [name, failures] : this->runner->Failures()) {
      if (failures < this->quarantineFailures) {
        continue;
      }
      // Each further failure lengthens the next quarantine. Between two
      // quarantines a start probes the worker.
      auto& [until, countedFailures] = this->quarantine[name];
      if (countedFailures != failures) {
        const std::int64_t excessFailures =
          failures - this->quarantineFailures + 1;
        until = aNow + kQuarantineStep * excessFailures;
        countedFailures = failures;
        LOG4CPLUS_WARN(this->logger,
                       "quarantined worker=" << name.Text()
                                             << " failures=" << failures);
      }
      if (aNow < until) {
        names.push_back(name);
      }
    }
    return names;
  }

  void RecordDecision(const JobIdentity& aJob, const std::string& aText)
  {
    if (this->decisions.Add(aJob, aText)) {
      LOG4CPLUS_INFO(this->logger,
                     "team=" << aJob.team.Text() << " job=" << aJob.key.Text()
                             << " " << aText);
    }
  }

  boost::asio::io_context* context;
  const WorkerTaskCache<Link>* taskCache;
  const JobRecordCache<Table>* jobRecords;
  Runner* runner;
  DecisionLog decisions;
  DataCentre dataCentre;
  PlacementWeights weights;
  std::int64_t quarantineFailures = 3;
  std::map<WorkerName, std::pair<Instant, std::int32_t>> quarantine;
  log4cplus::Logger logger;
};

}
