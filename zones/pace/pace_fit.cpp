#include "zones/pace/pace_fit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sardinecourse {

namespace {

/** Weight, in runs, of the expectation that a worker is typical, and of the one
 * that an estimate is right. Workers differ more than the estimates of a step
 * are off. */
constexpr double kTypicalWorkerRuns = 0.25;
constexpr double kRightEstimateRuns = 1.5;
/** Deviations beyond these (logarithms) count less and less: a run's from its
 * siblings and from the other runs of its worker, and a worker's or an
 * estimate's from what is expected. */
constexpr double kRunScale = 0.35;
constexpr double kWorkerScale = 1.0;
constexpr double kEstimateScale = 0.6;
/** With fewer values, their median may be that of an outlier. */
constexpr std::size_t kMinValuesOfMedian = 3;
constexpr int kSweeps = 6;
constexpr int kRobustSteps = 2;

struct WeightedValue
{
  double value = 0.0;
  double weight = 0.0;
};

struct Expectation
{
  double runs = 0.0;
  double scale = 1.0;
};

double
Credibility(double aDeviation, double aScale)
{
  const double ratio = aDeviation / aScale;
  return 1.0 / (1.0 + ratio * ratio);
}

double
WeightedMedian(std::vector<WeightedValue>& aValues)
{
  std::sort(
    aValues.begin(), aValues.end(), [](const auto& aLeft, auto& aRight) {
      return aLeft.value < aRight.value;
    });
  double total = 0.0;
  for (const WeightedValue& value : aValues) {
    total += value.weight;
  }
  double sum = 0.0;
  for (const WeightedValue& value : aValues) {
    sum += value.weight;
    if (2.0 * sum >= total) {
      return value.value;
    }
  }
  return 0.0;
}

/** Mean of the values and of the expectation of 0, in which outliers count
 * little. */
double
RobustMean(std::vector<WeightedValue>& aValues,
           const Expectation& aExpectation,
           double aStart)
{
  double mean =
    aValues.size() < kMinValuesOfMedian ? aStart : WeightedMedian(aValues);
  for (int step = 0; step < kRobustSteps; ++step) {
    double sum = 0.0;
    double weights = aExpectation.runs * Credibility(mean, aExpectation.scale);
    for (const WeightedValue& value : aValues) {
      const double weight =
        value.weight * Credibility(value.value - mean, kRunScale);
      sum += weight * value.value;
      weights += weight;
    }
    mean = weights > 0.0 ? sum / weights : 0.0;
  }
  return mean;
}

}

std::vector<double>
FitPaces(const std::vector<PaceSample>& aSamples,
         std::size_t aSteps,
         std::vector<double> aStart)
{
  constexpr Expectation kTypicalWorker{ kTypicalWorkerRuns, kWorkerScale };
  constexpr Expectation kRightEstimate{ kRightEstimateRuns, kEstimateScale };
  std::vector<std::vector<std::uint32_t>> samplesOfStep(aSteps);
  for (std::uint32_t sample = 0; sample < aSamples.size(); ++sample) {
    samplesOfStep[aSamples[sample].step].push_back(sample);
  }
  std::vector<double> paces = std::move(aStart);
  std::vector<double> errors(aSteps, 0.0);
  std::vector<WeightedValue> values;
  for (int sweep = 0; sweep < kSweeps; ++sweep) {
    for (std::size_t step = 0; step < aSteps; ++step) {
      values.clear();
      for (const std::uint32_t index : samplesOfStep[step]) {
        const PaceSample& sample = aSamples[index];
        values.push_back(WeightedValue{ sample.logRate - paces[sample.worker],
                                        sample.weight });
      }
      errors[step] = RobustMean(values, kRightEstimate, errors[step]);
    }
    for (std::size_t first = 0; first < aSamples.size();) {
      const std::uint32_t worker = aSamples[first].worker;
      values.clear();
      std::size_t end = first;
      for (; end < aSamples.size() && aSamples[end].worker == worker; ++end) {
        values.push_back(
          WeightedValue{ aSamples[end].logRate - errors[aSamples[end].step],
                         aSamples[end].weight });
      }
      paces[worker] = RobustMean(values, kTypicalWorker, paces[worker]);
      first = end;
    }
  }
  return paces;
}

}
