#pragma once

#include "core/instant.h"
#include "zones/pace/run_progress.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace sardinecourse {

struct MeasuredRun;

/** The latest runs that were measured on one worker, at most kMaxRuns. */
class PaceHistory
{
public:
  static constexpr std::size_t kMaxRuns = 8;

  /** A run with its rate against its estimate. */
  struct Run
  {
    std::uint64_t run = 0;
    std::uint64_t step = 0;
    float estimateMs = 0.0F;
    /** Natural logarithm; empty until the run has moved on far enough. */
    std::optional<float> logRate;
    RunProgress progress;
    Instant updated{};
    bool hasEnded = false;
    bool isGangMember = false;
  };

  /** Records that the worker reported the run's progress; aClockMs is on the
   * worker's clock. */
  void NoteProgress(const MeasuredRun& aRun,
                    std::int32_t aPercent,
                    std::int64_t aClockMs,
                    Instant aNow);
  /** Records that the run, a single task that began from its start, is done
   * after aRanMs. Its duration counts more than what the worker reported. */
  void NoteDone(const MeasuredRun& aRun, double aRanMs, Instant aNow);
  /** Records a pace, as a natural logarithm, that an earlier holder measured in
   * this incarnation of the worker. */
  void NoteStored(double aLogPace, Instant aNow);

  const std::vector<Run>& Runs() const { return this->runs; }
  /** Null when the run is not among the latest ones. */
  const Run* Find(std::uint64_t aRun) const;
  /** Weight of a run's rate: more for a member of a gang, and less the older it
   * is than the latest one. */
  double WeightOf(const Run& aRun) const;
  Instant Updated() const { return this->updated; }

private:
  /** The entry of the run, made in place of the oldest one if there is none;
   * null while all entries are of runs that are being measured. */
  Run* EntryOf(const MeasuredRun& aRun);
  void SetRate(Run& aEntry, double aRate, Instant aNow);

  std::vector<Run> runs;
  Instant updated{};
  /** Number of ends that contradicted the reported progress, less those that
   * agreed with it. */
  std::int32_t contradictions = 0;
};

}
