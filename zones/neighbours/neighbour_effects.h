#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "zones/neighbours/disturbance_evidence.h"
#include "zones/neighbours/kind_of_work.h"
#include "zones/neighbours/kind_pair.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinecourse {

/** Notices which kinds of work slow each other down on one worker. */
class NeighbourEffects
{
public:
  using Kind = std::uint8_t;

  /** Number of the kind, made if there is room for it; empty otherwise. */
  std::optional<Kind> KindOf(const KindOfWork& aKind);
  /** The same, without making it. */
  std::optional<Kind> FindKind(const KindOfWork& aKind) const;

  /** A run that a worker reports; aRun is unique in the domain. */
  struct ReportedRun
  {
    std::uint64_t run = 0;
    Kind kind = 0;
  };
  /** A run that is not reported any more. */
  struct EndedRun
  {
    std::uint64_t run = 0;
    Kind kind = 0;
    KindExposure beside{};
  };
  /** Records what runs on a worker; returns the runs that have ended since its
   * report before. */
  std::vector<EndedRun> NoteReport(const WorkerName& aWorker,
                                   const std::vector<ReportedRun>& aRuns);
  /** Records that a task of the kind was ordered to start on the worker, which
   * its next report lists. */
  void NoteStart(const WorkerName& aWorker, Kind aKind);
  /** Records the rate of an ended run, as a natural logarithm, against what the
   * pace of its worker and its estimate let expect. */
  void NoteRate(const EndedRun& aRun, double aLogRate);
  /** Records that nothing runs on the worker any more. */
  void Forget(const WorkerName& aWorker);

  /** Evaluates the evidence, at most once in kFitInterval. */
  void Fit(Instant aNow);
  static constexpr Milliseconds kFitInterval{ 1000 };

  /** Whether any pair of kinds is known to disturb each other. */
  bool HasEffects() const { return this->hasEffects; }
  /** Whether any other kind is known to disturb this one, or to be disturbed by
   * it. */
  bool HasEffects(Kind aKind) const;
  /** Expected slowdown, as a share, between a task of the kind and what runs on
   * the worker. */
  double DisturbanceOn(const WorkerName& aWorker, Kind aKind) const;
  /** Pairs that were found to disturb each other, or not to any more, since the
   * last call; clears the list. */
  std::vector<KindPair> TakeChanges();

private:
  using KindSet = std::uint16_t;
  /** Runs of a worker whose neighbours are recorded. */
  static constexpr std::size_t kMaxRunsOfWorker = 8;

  struct TrackedRun
  {
    std::uint64_t run = 0;
    Kind kind = 0;
    std::uint16_t reports = 0;
    /** Number of these reports that listed a task of each kind beside it. */
    std::array<std::uint16_t, kMaxKinds> beside{};
  };

  struct Worker
  {
    std::vector<TrackedRun> runs;
    KindSet kinds = 0;
  };

  void UpdateEffect(Kind aKind, Kind aBeside, double aSlowdown);

  std::vector<KindOfWork> kinds;
  std::map<WorkerName, Worker> workers;
  std::array<DisturbanceEvidence, kMaxKinds> evidence;
  std::array<std::array<double, kMaxKinds>, kMaxKinds> slowdowns{};
  std::vector<KindPair> changes;
  bool hasNewRuns = false;
  bool hasEffects = false;
  Instant lastFit{};
};

}
