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

/** Upper bound of a job's credit factor, which is 1 for a job of mean size. */
constexpr double kMaxCreditFactor = 4.0;
/** A credit factor is a base and a part that grows with the job's size relative
 * to the mean of its kind. */
constexpr double kBaseCredit = 0.3;
constexpr double kSizeCredit = 0.7;
/** A step that needs more than this share of the fleet's accelerators is taken
 * to run in waves. */
constexpr double kWaveShare = 0.25;
/** Callers cancel jobs at most this long after the arrival. */
constexpr double kMaxCancelDelayMs = 8000.0;

class JobStreamGenerator
{
public:
  JobStreamGenerator(const ModelSettings& aSettings, std::uint32_t aSeed)
    : settings(&aSettings)
    , random(aSeed)
  {
  }

  std::vector<ModelJob> Generate()
  {
    std::vector<ModelJob> jobs;
    for (std::size_t kind = 0; kind < this->settings->kinds.size(); ++kind) {
      const std::vector<Milliseconds> times = this->ArrivalTimes(kind);
      for (const Milliseconds at : times) {
        jobs.push_back(this->MakeJob(kind, at, jobs.size()));
      }
    }
    this->SetCreditFactors(jobs);
    std::ranges::sort(jobs, {}, &ModelJob::arrival);
    return jobs;
  }

private:
  bool Chance(double aShare)
  {
    return std::uniform_real_distribution<>(0.0, 1.0)(this->random) < aShare;
  }

  double Uniform(double aMin, double aMax)
  {
    return std::uniform_real_distribution<>(aMin, aMax)(this->random);
  }

  /** Draws from a log-normal distribution with the given mean, capped at aMax.
   * aSigma is the standard deviation of the logarithm. */
  double LogNormal(double aMean, double aSigma, double aMax)
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
    double rate = aKind.arrivalsPerSecond;
    for (const ModelTrouble& trouble : this->settings->troubles) {
      const auto from = static_cast<double>(trouble.start.count());
      const auto until = from + static_cast<double>(trouble.duration.count());
      const bool isForKind = trouble.jobs.empty() || trouble.jobs == aKind.name;
      if (trouble.kind == ModelTrouble::Kind::kBurst && isForKind &&
          aMs >= from && aMs < until) {
        rate *= trouble.factor;
      }
    }
    return rate;
  }

  /** Draws the arrivals of a Poisson process with a varying rate, by thinning.
   */
  std::vector<Milliseconds> ArrivalTimes(std::size_t aKind)
  {
    const ModelKind& kind = this->settings->kinds[aKind];
    double maxRate = kind.arrivalsPerSecond;
    for (const ModelTrouble& trouble : this->settings->troubles) {
      maxRate *= std::max(1.0, trouble.factor);
    }
    std::vector<Milliseconds> times;
    constexpr double kMsPerSecond = 1000.0;
    const auto trafficMs = static_cast<double>(this->settings->traffic.count());
    std::exponential_distribution<> gaps(maxRate / kMsPerSecond);
    for (double at = gaps(this->random); at < trafficMs;
         at += gaps(this->random)) {
      if (this->Chance(this->RateAt(kind, at) / maxRate)) {
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
    made.arrival = aAt;
    std::vector<JobStep> steps;
    const auto count = std::max<std::int64_t>(
      1,
      std::llround(this->LogNormal(
        kind.steps, kind.steps > 1.0 ? 0.4 : 0.0, kind.maxSteps)));
    const std::int64_t accelerators =
      kind.accelerators[static_cast<std::size_t>(
        this->Uniform(0.0, static_cast<double>(kind.accelerators.size())))];
    for (std::int64_t step = 0; step < count; ++step) {
      steps.push_back(this->MakeStep(kind, accelerators, steps.size(), made));
    }
    made.alwaysFails = this->Chance(kind.poisonShare);
    if (this->Chance(kind.cancelShare)) {
      made.cancelAt = aAt + Milliseconds(static_cast<std::int64_t>(
                              this->Uniform(0.0, kMaxCancelDelayMs)));
    }
    made.job = Valid(
      AdmittedJobBuilder()
        .Key(JobKey("job-" + std::to_string(aNumber)))
        .Queue(QueueName(kind.name))
        .Service(ServiceName("fretdesk"))
        .Team(TeamName("team-" + std::to_string(static_cast<std::int64_t>(
                                   this->Uniform(0.0, this->settings->teams)))))
        .Priority(kind.priority)
        .MaxAttempts(kind.maxAttempts)
        .Stretch(kind.stretch)
        .Allowance(kind.allowance)
        .Admitted(WallTime(aAt))
        .Plan(Valid(JobPlanBuilder().Payload("p").Steps(std::move(steps)))));
    made.objective = this->MakeObjective(made, kind);
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
      1,
      std::llround(this->LogNormal(aKind.width, aKind.widthSpread, maxWidth)));
    const double work =
      this->LogNormal(static_cast<double>(aKind.work.count()),
                      aKind.workSpread,
                      static_cast<double>(aKind.maxWork.count()));
    const bool isGang = this->Chance(aKind.gangShare);
    std::vector<Milliseconds> runTimes;
    for (std::int64_t task = 0; task < width; ++task) {
      const double share =
        isGang ? 1.0
               : this->Uniform(1.0 - aKind.unevenness, 1.0 + aKind.unevenness);
      runTimes.emplace_back(static_cast<std::int64_t>(work * share) + 1);
    }
    aJob.runTimes.push_back(std::move(runTimes));
    const double estimate = work * this->Uniform(1.0 - aKind.estimateError,
                                                 1.0 + aKind.estimateError);
    const Resources need = MakeResources(
      aKind.need.MilliCores(), aKind.need.MemoryMb(), aAccelerators);
    // Callers ask for a single rack only if the step fits into an empty one.
    const std::int64_t perWorker =
      this->settings->workerCapacity.CountFitting(need);
    const bool fitsRack = width <= perWorker * this->settings->workersPerRack;
    JobStepBuilder step;
    step.Count(static_cast<std::int32_t>(width))
      .Need(need)
      .Estimate(Milliseconds(static_cast<std::int64_t>(estimate) + 1))
      .IsGang(isGang)
      .PrefersOneRack(isGang && this->Chance(aKind.oneRackShare) && fitsRack)
      .IsCheckpointing(this->Chance(aKind.checkpointShare))
      .MaxTasksPerWorker(
        !isGang && this->Chance(aKind.oneTaskPerWorkerShare) ? 1 : 0);
    if (aPosition > 0) {
      step.After({ static_cast<std::int32_t>(aPosition) - 1 });
    }
    if (this->Chance(aKind.dataRackShare) && fitsRack) {
      const std::int32_t racks =
        this->settings->workers / this->settings->workersPerRack;
      step.DataRack(RackName(
        "rack-" + std::to_string(static_cast<int>(this->Uniform(0.0, racks)))));
    }
    return Valid(step);
  }

  /** Derives the objective from the run time of the steps one after the other:
   * the longest task of each, times its waves, times the attempts of a job that
   * always fails. */
  Milliseconds MakeObjective(const ModelJob& aJob, const ModelKind& aKind) const
  {
    const double accelerators =
      static_cast<double>(this->settings->workerCapacity.Accelerators()) *
      this->settings->workers;
    double chain = 0.0;
    const auto& steps = aJob.job.Plan().Steps();
    for (std::size_t step = 0; step < steps.size(); ++step) {
      const auto longest = std::ranges::max(aJob.runTimes[step]);
      const double waveCount =
        static_cast<double>(steps[step].Need().Accelerators() *
                            steps[step].Count()) /
        (kWaveShare * accelerators);
      const double waves =
        steps[step].IsGang() ? 1.0 : std::max(1.0, waveCount);
      const double attempts = aJob.alwaysFails ? aKind.maxAttempts : 1.0;
      chain += static_cast<double>(longest.count()) * waves * attempts;
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
      for (const Milliseconds work : aJob.runTimes[step]) {
        sum += cores * static_cast<double>(work.count()) / kMsPerSecond;
      }
    }
    return sum;
  }

  void SetCreditFactors(std::vector<ModelJob>& aJobs) const
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
          job.creditFactor =
            std::min(kMaxCreditFactor, kBaseCredit + kSizeCredit * size);
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
  return JobStreamGenerator(aSettings, aSeed).Generate();
}

}
