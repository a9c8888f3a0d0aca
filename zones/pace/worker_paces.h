#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/pace/pace_change.h"
#include "zones/pace/pace_history.h"
#include "zones/pace/pace_records.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sardinecourse {

struct MeasuredRun;

/** Measures the paces of a domain's workers from the progress and the ends of
 * their runs. Workers are compared within their service. */
class WorkerPaces
{
public:
  /** Records that an incarnation of the worker begins, or that this holder has
   * found it begun. Nothing is known of its pace, unless an earlier holder
   * stored it. */
  void BeginIncarnation(const ServiceName& aService,
                        const WorkerName& aWorker,
                        std::int64_t aIncarnation,
                        Instant aNow);
  /** Records that the incarnation of the worker has ended. */
  void EndIncarnation(const ServiceName& aService, const WorkerName& aWorker);

  void NoteProgress(const ServiceName& aService,
                    const WorkerName& aWorker,
                    const MeasuredRun& aRun,
                    std::int32_t aPercent,
                    std::int64_t aClockMs,
                    Instant aNow);
  /** Records that a run of a single task, which began from its start, is done
   * after aRanMs. */
  void NoteDone(const ServiceName& aService,
                const WorkerName& aWorker,
                const MeasuredRun& aRun,
                double aRanMs,
                Instant aNow);
  /** Computes the paces anew, at most once in kFitInterval. */
  void Fit(Instant aNow);
  static constexpr Milliseconds kFitInterval{ 500 };

  /** Pace of the worker relative to the typical one of its service. It is 1
   * while too few workers were measured, and while the service is even: while
   * nearly all of its workers are fast enough for the tightest objectives. An
   * unmeasured worker of an uneven service is doubtful. */
  double PaceOf(const ServiceName& aService, const WorkerName& aWorker) const;
  /** Whether the paces of a service's workers differ enough to matter. */
  bool IsUneven(const ServiceName& aService) const;
  /** Workers whose class changed since the last call; clears the list. */
  std::vector<PaceChange> TakeChanges();

  /** Natural logarithm of the mean rate of a run, against what the pace of its
   * worker and the estimate of its step let expect; empty for a run that was
   * not measured long enough. */
  std::optional<double> DeviationOf(const ServiceName& aService,
                                    const WorkerName& aWorker,
                                    std::uint64_t aRun) const;

  /** Number of measured workers of each class. */
  std::map<PaceClass, std::int64_t> CountByClass() const;
  /** Measured paces of uneven services, for the next holder. */
  PaceRecords Records() const;
  /** Adopts what an earlier holder measured, for workers of which nothing was
   * measured since. */
  void Load(PaceRecords aRecords, Instant aNow);

private:
  struct Entry
  {
    std::int64_t incarnation = 0;
    Instant begun{};
    PaceHistory history;
    /** Result of the latest fit, against the estimates. */
    double fitted = 0.0;
    /** Against the typical worker. */
    double logPace = 0.0;
    PaceClass paceClass = PaceClass::kTypical;
    bool isMeasured = false;
  };

  struct Service
  {
    std::map<WorkerName, Entry> workers;
    /** By how much runs of the measured steps are faster than estimated, as
     * natural logarithms. */
    std::unordered_map<std::uint64_t, double> stepErrors;
    bool isUneven = false;
    /** Whether runs were measured since the latest fit. */
    bool isChanged = false;
  };

  void AdoptRecord(const WorkerName& aWorker,
                   Service& aService,
                   Instant aNow) const;
  static void FitService(Service& aService);
  static void UpdateUnevenness(Service& aService);
  void UpdateClasses(Service& aService);

  std::map<ServiceName, Service> services;
  PaceRecords stored;
  std::vector<PaceChange> changes;
  Instant lastFit{};
};

}
