#include "tests/model/job_stream.h"

#include "tests/model/model_job.h"
#include "tests/model/model_settings.h"
#include "tests/scheduling/sample_jobs.h"
#include "zones/work_size.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>

namespace sardinecourse {

namespace {

/** Credit by size is bounded at this many times the mean. */
constexpr double kMaxValue = 4.0;
constexpr double kValueOfAny = 0.3;
constexpr double kValueBySize = 0.7;
/** A step that is wider than this part of the room runs in waves. */
constexpr double kWavePart = 0.25;
/** Cancels come within so long after the arrival. */
constexpr double kLatestCancelMs = 8000.0;

class StreamMaker
{
public:
  StreamMaker(const ModelSettings& aSettings, std::uint32_t aSeed)
    : settings(&aSettings)
    , random(aSeed)
  {
  }

  std::vector<ModelJob> Make()
  {
    std::vector<ModelJob> jobs;
    for (std::size_t kind = 0; kind < this->settings->kinds.size(); ++kind) {
      const std::vector<Milliseconds> times = this->TimesOf(kind);
      for (const Milliseconds at : times) {
        jobs.push_back(this->MakeJob(kind, at, jobs.size()));
      }
    }
    this->SetValues(jobs);
    std::ranges::sort(jobs, {}, &ModelJob::at);
    return jobs;
  }

private:
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>(0.0, 1.0)(this->random) < aShare;
  }

  double Between(double aMin, double aMax)
  {
    return std::uniform_real_distribution<>(aMin, aMax)(this->random);
  }

  /** Log-normal with the given mean, bounded above. */
  double Spread(double aMean, double aSigma, double aMax)
  {
    if (aSigma <= 0.0) {
      return std::min(aMean, aMax);
    }
    std::lognormal_distribution<> values(
      std::log(aMean) - aSigma * aSigma / 2.0, aSigma);
    return std::min(values(this->random), aMax);
  }

  double RateAt(const ModelKind& aKind, double aMs) const
  {
    double rate = aKind.perSecond;
    for (const ModelTrouble& trouble : this->settings->troubles) {
      const auto from = static_cast<double>(trouble.at.count());
      const auto until = from + static_cast<double>(trouble.length.count());
      const bool isFor = trouble.jobs.empty() || trouble.jobs == aKind.name;
      if (trouble.kind == ModelTrouble::Kind::kBurst && isFor && aMs >= from &&
          aMs < until) {
        rate *= trouble.factor;
      }
    }
    return rate;
  }

  /** A Poisson process whose rate changes, by thinning. */
  std::vector<Milliseconds> TimesOf(std::size_t aKind)
  {
    const ModelKind& kind = this->settings->kinds[aKind];
    double most = kind.perSecond;
    for (const ModelTrouble& trouble : this->settings->troubles) {
      most *= std::max(1.0, trouble.factor);
    }
    std::vector<Milliseconds> times;
    constexpr double kMsPerSecond = 1000.0;
    const auto length = static_cast<double>(this->settings->traffic.count());
    std::exponential_distribution<> gaps(most / kMsPerSecond);
    for (double at = gaps(this->random); at < length;
         at += gaps(this->random)) {
      if (this->Chance(this->RateAt(kind, at) / most)) {
        times.emplace_back(static_cast<std::int64_t>(at));
      }
    }
    return times;
  }

  ModelJob MakeJob(std::size_t aKind, Milliseconds aAt, std::size_t aNumber)
  {
    const ModelKind& kind = this->settings->kinds[aKind];
    ModelJob made;
    made.kind = aKind;
    made.at = aAt;
    std::vector<JobStep> steps;
    const auto count = std::max<std::int64_t>(
      1,
      std::llround(
        this->Spread(kind.steps, kind.steps > 1.0 ? 0.4 : 0.0, kind.maxSteps)));
    const std::int64_t accelerators =
      kind.accelerators[static_cast<std::size_t>(
        this->Between(0.0, static_cast<double>(kind.accelerators.size())))];
    for (std::int64_t step = 0; step < count; ++step) {
      steps.push_back(this->MakeStep(kind, accelerators, steps.size(), made));
    }
    made.isPoisoned = this->Chance(kind.poisonShare);
    if (this->Chance(kind.cancelShare)) {
      made.cancelled = aAt + Milliseconds(static_cast<std::int64_t>(
                               this->Between(0.0, kLatestCancelMs)));
    }
    made.job = Valid(
      AdmittedJobBuilder()
        .Key(JobKey("job-" + std::to_string(aNumber)))
        .Queue(QueueName(kind.name))
        .Service(ServiceName("fretdesk"))
        .Team(TeamName("team-" + std::to_string(static_cast<std::int64_t>(
                                   this->Between(0.0, this->settings->teams)))))
        .Priority(kind.priority)
        .MaxAttempts(kind.maxAttempts)
        .Stretch(kind.stretch)
        .Allowance(kind.allowance)
        .Admitted(WallTime(aAt))
        .Plan(Valid(JobPlanBuilder().Payload("p").Steps(std::move(steps)))));
    made.objective = this->ObjectiveOf(made, kind);
    return made;
  }

  JobStep MakeStep(const ModelKind& aKind,
                   std::int64_t aAccelerators,
                   std::size_t aPosition,
                   ModelJob& aJob)
  {
    const double maxWidth =
      std::min(aKind.maxWidth,
               aKind.maxAccelerators / static_cast<double>(aAccelerators));
    const auto width = std::max<std::int64_t>(
      1, std::llround(this->Spread(aKind.width, aKind.widthSpread, maxWidth)));
    const double work =
      this->Spread(static_cast<double>(aKind.work.count()),
                   aKind.workSpread,
                   static_cast<double>(aKind.maxWork.count()));
    const bool isGang = this->Chance(aKind.gangShare);
    std::vector<Milliseconds> tasks;
    for (std::int64_t task = 0; task < width; ++task) {
      const double share =
        isGang ? 1.0 : this->Between(1.0 - aKind.uneven, 1.0 + aKind.uneven);
      tasks.emplace_back(static_cast<std::int64_t>(work * share) + 1);
    }
    aJob.work.push_back(std::move(tasks));
    const double estimate = work * this->Between(1.0 - aKind.estimateError,
                                                 1.0 + aKind.estimateError);
    const Resources need = MakeResources(
      aKind.need.MilliCores(), aKind.need.MemoryMb(), aAccelerators);
    // Callers ask for one rack only where an empty one would do.
    const std::int64_t inRack = this->settings->room.Holds(need);
    const bool fitsRack = width <= inRack * this->settings->workersPerRack;
    JobStepBuilder step;
    step.Count(static_cast<std::int32_t>(width))
      .Need(need)
      .Estimate(Milliseconds(static_cast<std::int64_t>(estimate) + 1))
      .IsGang(isGang)
      .PrefersOneRack(isGang && this->Chance(aKind.oneRackShare) && fitsRack)
      .IsCheckpointing(this->Chance(aKind.checkpointShare))
      .MaxTasksPerWorker(!isGang && this->Chance(aKind.apartShare) ? 1 : 0);
    if (aPosition > 0) {
      step.After({ static_cast<std::int32_t>(aPosition) - 1 });
    }
    if (this->Chance(aKind.dataRackShare) && fitsRack) {
      const std::int32_t racks =
        this->settings->workers / this->settings->workersPerRack;
      step.DataRack(RackName(
        "rack-" + std::to_string(static_cast<int>(this->Between(0.0, racks)))));
    }
    return Valid(step);
  }

  /** The longest chain of work, a wide step in waves, with the attempts of a
   * job that fails in each of them. */
  Milliseconds ObjectiveOf(const ModelJob& aJob, const ModelKind& aKind) const
  {
    const double accelerators =
      static_cast<double>(this->settings->room.Accelerators()) *
      this->settings->workers;
    double chain = 0.0;
    const auto& steps = aJob.job.Plan().Steps();
    for (std::size_t step = 0; step < steps.size(); ++step) {
      const auto longest = std::ranges::max(aJob.work[step]);
      const double wide =
        static_cast<double>(steps[step].Need().Accelerators() *
                            steps[step].Count()) /
        (kWavePart * accelerators);
      const double waves = steps[step].IsGang() ? 1.0 : std::max(1.0, wide);
      const double runs = aJob.isPoisoned ? aKind.maxAttempts : 1.0;
      chain += static_cast<double>(longest.count()) * waves * runs;
    }
    return Milliseconds(static_cast<std::int64_t>(aKind.stretch * chain)) +
           aKind.allowance;
  }

  static double CoreSeconds(const ModelJob& aJob)
  {
    constexpr double kMsPerSecond = 1000.0;
    double sum = 0.0;
    const auto& steps = aJob.job.Plan().Steps();
    for (std::size_t step = 0; step < steps.size(); ++step) {
      const double cores = CoreEquivalents(steps[step].Need());
      for (const Milliseconds work : aJob.work[step]) {
        sum += cores * static_cast<double>(work.count()) / kMsPerSecond;
      }
    }
    return sum;
  }

  void SetValues(std::vector<ModelJob>& aJobs) const
  {
    for (std::size_t kind = 0; kind < this->settings->kinds.size(); ++kind) {
      double sum = 0.0;
      double count = 0.0;
      for (const ModelJob& job : aJobs) {
        sum += job.kind == kind ? CoreSeconds(job) : 0.0;
        count += job.kind == kind ? 1.0 : 0.0;
      }
      for (ModelJob& job : aJobs) {
        if (job.kind == kind) {
          const double size = CoreSeconds(job) / (sum / count);
          job.value = std::min(kMaxValue, kValueOfAny + kValueBySize * size);
        }
      }
    }
  }

  const ModelSettings* settings;
  std::mt19937 random;
};

}

std::vector<ModelJob>
MakeJobStream(const ModelSettings& aSettings, std::uint32_t aSeed)
{
  return StreamMaker(aSettings, aSeed).Make();
}

}
