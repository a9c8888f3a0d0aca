#include "zones/pace/worker_paces.h"

#include "zones/pace/measured_run.h"
#include "zones/pace/pace_fit.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace sardinecourse {

namespace {

/** With fewer measured workers, the slow ones among them may be so by chance.
 */
constexpr std::size_t kMinMeasuredWorkers = 20;
/** A service is uneven when one worker in ten is below this pace, at which a
 * run that starts at once misses an objective of 1.5 times its run time; it is
 * even again when that worker is above the other pace. */
constexpr std::size_t kWorkersPerSlowOne = 10;
constexpr double kUnevenPace = 1.0 / 1.5;
constexpr double kEvenPace = 0.75;
/** A class changes only once the pace is beyond its bound by this factor (a
 * natural logarithm), so that noise near a bound moves no worker to and fro. */
constexpr double kClassMargin = 0.04;
/** After this time without a run a worker counts as not measured. */
constexpr std::chrono::minutes kMaxHistoryAge{ 30 };
/** The share of a class's bound at which a pace is kept within it. */
constexpr double kInsideClass = 1e-3;

PaceClass
NextClass(PaceClass aClass, double aLogPace)
{
  const PaceClass lower = PaceClassOf(std::exp(aLogPace + kClassMargin));
  const PaceClass upper = PaceClassOf(std::exp(aLogPace - kClassMargin));
  if (lower < aClass) {
    return lower;
  }
  return upper > aClass ? upper : aClass;
}

/** The pace, kept inside of the class. */
double
PaceWithin(PaceClass aClass, double aPace)
{
  switch (aClass) {
    case PaceClass::kSlow:
      return std::min(aPace, kSlowPace * (1.0 - kInsideClass));
    case PaceClass::kDoubtful:
      return std::clamp(aPace, kSlowPace, kTypicalPace * (1.0 - kInsideClass));
    case PaceClass::kFast:
      return std::max(aPace, kFastPace * (1.0 + kInsideClass));
    default:
      return std::clamp(aPace, kTypicalPace, kFastPace);
  }
}

}

void
WorkerPaces::BeginIncarnation(const ServiceName& aService,
                              const WorkerName& aWorker,
                              std::int64_t aIncarnation,
                              Instant aNow)
{
  Service& service = this->services[aService];
  Entry& entry = service.workers[aWorker];
  entry = Entry();
  entry.incarnation = aIncarnation;
  entry.begun = aNow;
  this->AdoptRecord(aWorker, service, aNow);
  service.isChanged = true;
}

void
WorkerPaces::EndIncarnation(const ServiceName& aService,
                            const WorkerName& aWorker)
{
  const auto service = this->services.find(aService);
  if (service != this->services.end()) {
    service->second.workers.erase(aWorker);
  }
}

/** Only paces of uneven services are stored, so the service is uneven. */
void
WorkerPaces::AdoptRecord(const WorkerName& aWorker,
                         Service& aService,
                         Instant aNow) const
{
  Entry& entry = aService.workers[aWorker];
  const auto logPace = this->stored.Find(aWorker, entry.incarnation);
  if (logPace) {
    entry.history.NoteStored(*logPace, aNow);
    aService.isUneven = true;
  }
}

void
WorkerPaces::Load(PaceRecords aRecords, Instant aNow)
{
  this->stored = std::move(aRecords);
  for (auto& [name, service] : this->services) {
    for (auto& [worker, entry] : service.workers) {
      this->AdoptRecord(worker, service, aNow);
    }
    service.isChanged = true;
  }
}

std::map<PaceClass, std::int64_t>
WorkerPaces::CountByClass() const
{
  std::map<PaceClass, std::int64_t> counts{ { PaceClass::kSlow, 0 },
                                            { PaceClass::kDoubtful, 0 },
                                            { PaceClass::kTypical, 0 },
                                            { PaceClass::kFast, 0 } };
  for (const auto& [name, service] : this->services) {
    for (const auto& [worker, entry] : service.workers) {
      counts[entry.paceClass] += entry.isMeasured ? 1 : 0;
    }
  }
  return counts;
}

PaceRecords
WorkerPaces::Records() const
{
  PaceRecords records;
  for (const auto& [name, service] : this->services) {
    if (!service.isUneven) {
      continue;
    }
    for (const auto& [worker, entry] : service.workers) {
      if (entry.isMeasured) {
        records.Add(worker, entry.incarnation, entry.logPace);
      }
    }
  }
  return records;
}

void
WorkerPaces::NoteProgress(const ServiceName& aService,
                          const WorkerName& aWorker,
                          const MeasuredRun& aRun,
                          std::int32_t aPercent,
                          std::int64_t aClockMs,
                          Instant aNow)
{
  Service& service = this->services[aService];
  service.workers[aWorker].history.NoteProgress(aRun, aPercent, aClockMs, aNow);
  service.isChanged = true;
}

void
WorkerPaces::NoteDone(const ServiceName& aService,
                      const WorkerName& aWorker,
                      const MeasuredRun& aRun,
                      double aRanMs,
                      Instant aNow)
{
  Service& service = this->services[aService];
  service.workers[aWorker].history.NoteDone(aRun, aRanMs, aNow);
  service.isChanged = true;
}

void
WorkerPaces::Fit(Instant aNow)
{
  if (aNow < this->lastFit + kFitInterval) {
    return;
  }
  this->lastFit = aNow;
  for (auto& [name, service] : this->services) {
    if (!std::exchange(service.isChanged, false)) {
      continue;
    }
    std::erase_if(service.workers, [aNow](const auto& aEntry) {
      const Entry& entry = aEntry.second;
      return std::max(entry.begun, entry.history.Updated()) + kMaxHistoryAge <
             aNow;
    });
    FitService(service);
    UpdateUnevenness(service);
    this->UpdateClasses(service);
  }
}

void
WorkerPaces::FitService(Service& aService)
{
  std::vector<PaceSample> samples;
  std::vector<double> paces;
  std::unordered_map<std::uint64_t, std::uint32_t> steps;
  for (auto& [name, entry] : aService.workers) {
    const auto worker = static_cast<std::uint32_t>(paces.size());
    paces.push_back(entry.fitted);
    entry.isMeasured = false;
    for (const PaceHistory::Run& run : entry.history.Runs()) {
      if (run.logRate) {
        const auto next = static_cast<std::uint32_t>(steps.size());
        samples.push_back(
          PaceSample{ worker,
                      steps.try_emplace(run.step, next).first->second,
                      *run.logRate,
                      entry.history.WeightOf(run) });
        entry.isMeasured = true;
      }
    }
  }
  const PaceFitResult fit = FitPaces(samples, steps.size(), std::move(paces));
  aService.stepErrors.clear();
  for (const auto& [step, index] : steps) {
    aService.stepErrors.emplace(step, fit.errors[index]);
  }
  std::vector<double> measured;
  std::size_t worker = 0;
  for (auto& [name, entry] : aService.workers) {
    entry.fitted = fit.paces[worker++];
    if (entry.isMeasured) {
      measured.push_back(entry.fitted);
    }
  }
  double typical = 0.0;
  if (measured.size() >= kMinMeasuredWorkers) {
    const auto middle =
      measured.begin() + static_cast<std::ptrdiff_t>(measured.size() / 2);
    std::nth_element(measured.begin(), middle, measured.end());
    typical = *middle;
  }
  for (auto& [name, entry] : aService.workers) {
    entry.logPace = entry.isMeasured ? entry.fitted - typical : 0.0;
  }
}

void
WorkerPaces::UpdateUnevenness(Service& aService)
{
  std::vector<double> measured;
  for (const auto& [name, entry] : aService.workers) {
    if (entry.isMeasured) {
      measured.push_back(entry.logPace);
    }
  }
  // At the start of a term, an earlier holder's finding holds until then.
  if (measured.size() < kMinMeasuredWorkers) {
    return;
  }
  const auto slow = measured.begin() + static_cast<std::ptrdiff_t>(
                                         measured.size() / kWorkersPerSlowOne);
  std::nth_element(measured.begin(), slow, measured.end());
  const double bound = aService.isUneven ? kEvenPace : kUnevenPace;
  aService.isUneven = *slow < std::log(bound);
}

void
WorkerPaces::UpdateClasses(Service& aService)
{
  for (auto& [name, entry] : aService.workers) {
    const PaceClass next = aService.isUneven
                             ? NextClass(entry.paceClass, entry.logPace)
                             : PaceClass::kTypical;
    if (next != entry.paceClass) {
      this->changes.push_back(
        PaceChange{ name, entry.paceClass, next, std::exp(entry.logPace) });
      entry.paceClass = next;
    }
  }
}

double
WorkerPaces::PaceOf(const ServiceName& aService,
                    const WorkerName& aWorker) const
{
  const auto service = this->services.find(aService);
  if (service == this->services.end() || !service->second.isUneven) {
    return 1.0;
  }
  const auto found = service->second.workers.find(aWorker);
  if (found == service->second.workers.end() || !found->second.isMeasured) {
    return kDoubtfulPace;
  }
  return PaceWithin(found->second.paceClass, std::exp(found->second.logPace));
}

bool
WorkerPaces::IsUneven(const ServiceName& aService) const
{
  const auto service = this->services.find(aService);
  return service != this->services.end() && service->second.isUneven;
}

std::optional<double>
WorkerPaces::DeviationOf(const ServiceName& aService,
                         const WorkerName& aWorker,
                         std::uint64_t aRun) const
{
  const auto service = this->services.find(aService);
  if (service == this->services.end()) {
    return std::nullopt;
  }
  const auto worker = service->second.workers.find(aWorker);
  if (worker == service->second.workers.end()) {
    return std::nullopt;
  }
  const PaceHistory::Run* run = worker->second.history.Find(aRun);
  if (run == nullptr) {
    return std::nullopt;
  }
  const auto rate = run->progress.MeanRate();
  const auto error = service->second.stepErrors.find(run->step);
  if (!rate || error == service->second.stepErrors.end()) {
    return std::nullopt;
  }
  return std::log(*rate * run->estimateMs) - worker->second.fitted -
         error->second;
}

std::vector<PaceChange>
WorkerPaces::TakeChanges()
{
  return std::exchange(this->changes, {});
}

}
