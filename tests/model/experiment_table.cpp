#include "tests/model/experiment_table.h"

#include "tests/model/model_figures.h"
#include "tests/model/model_settings.h"
#include "tests/policy/run_figures.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iomanip>
#include <ostream>

namespace sardinecourse {

namespace {

using BySeed = std::vector<std::vector<ModelFigures>>;

double
Mean(const BySeed& aBySeed,
     std::size_t aPolicy,
     const std::function<double(const ModelFigures&)>& aFigure)
{
  double sum = 0.0;
  for (const auto& figures : aBySeed) {
    sum += aFigure(figures[aPolicy]);
  }
  return sum / static_cast<double>(aBySeed.size());
}

double
WaitPercentile(const BySeed& aBySeed,
               std::size_t aPolicy,
               const std::string& aKind,
               int aPercent)
{
  std::vector<double> waits;
  for (const auto& figures : aBySeed) {
    const auto found = figures[aPolicy].kinds.find(aKind);
    if (found != figures[aPolicy].kinds.end()) {
      waits.insert(
        waits.end(), found->second.waits.begin(), found->second.waits.end());
    }
  }
  return Percentile(std::move(waits), aPercent);
}

void
WriteGain(std::ostream& aTo, const BySeed& aBySeed, std::size_t aPolicy)
{
  double sum = 0.0;
  double squares = 0.0;
  const auto count = static_cast<double>(aBySeed.size());
  for (const auto& figures : aBySeed) {
    const double gain = figures[aPolicy].worth - figures.front().worth;
    sum += gain;
    squares += gain * gain;
  }
  const double mean = sum / count;
  const double variance = std::max(0.0, squares / count - mean * mean);
  const double error = std::sqrt(variance / std::max(1.0, count - 1.0));
  aTo << std::showpos << mean << std::noshowpos << " ± " << error;
}

}

void
WriteExperimentTable(std::ostream& aTo,
                     const ModelSettings& aSettings,
                     const std::vector<std::vector<ModelFigures>>& aBySeed)
{
  aTo << "| policy | worth | against the first |";
  for (const ModelKind& kind : aSettings.kinds) {
    aTo << ' ' << kind.name << ": owed, credit, in time, wait p50 / p95 s |";
  }
  aTo << " thrown away, core-s | preempted | units done, far | fragmentation "
         "|\n|";
  for (std::size_t column = 0; column < aSettings.kinds.size() + 7; ++column) {
    aTo << " --- |";
  }
  aTo << '\n' << std::fixed << std::setprecision(3);
  for (std::size_t policy = 0; policy < aSettings.policies.size(); ++policy) {
    const auto mean = [&aBySeed, policy](const auto& aFigure) {
      return Mean(aBySeed, policy, aFigure);
    };
    aTo << "| " << aSettings.policies[policy].first << " | "
        << mean([](const ModelFigures& aRun) { return aRun.worth; }) << " | ";
    WriteGain(aTo, aBySeed, policy);
    for (const ModelKind& kind : aSettings.kinds) {
      const auto figuresOf = [&kind](const ModelFigures& aRun) {
        const auto found = aRun.kinds.find(kind.name);
        return found == aRun.kinds.end() ? KindFigures() : found->second;
      };
      aTo << " | " << std::setprecision(1)
          << mean([&figuresOf](const ModelFigures& aRun) {
               return static_cast<double>(figuresOf(aRun).countedJobs);
             })
          << std::setprecision(3) << ", "
          << mean([&figuresOf](const ModelFigures& aRun) {
               return figuresOf(aRun).CreditShare();
             })
          << ", " << mean([&figuresOf](const ModelFigures& aRun) {
               const KindFigures figures = figuresOf(aRun);
               return figures.countedJobs == 0
                        ? 1.0
                        : static_cast<double>(figures.inTime) /
                            figures.countedJobs;
             })
          << ", " << WaitPercentile(aBySeed, policy, kind.name, 50) << " / "
          << WaitPercentile(aBySeed, policy, kind.name, 95);
    }
    aTo << " | " << std::setprecision(0)
        << mean([](const ModelFigures& aRun) { return aRun.lostCoreSeconds; })
        << std::setprecision(1) << " | " << mean([](const ModelFigures& aRun) {
             return static_cast<double>(aRun.preempted);
           })
        << " | " << mean([](const ModelFigures& aRun) {
             return static_cast<double>(aRun.unitsDone);
           })
        << ", " << mean([](const ModelFigures& aRun) {
             return static_cast<double>(aRun.remoteUnits);
           })
        << std::setprecision(3) << " | "
        << mean([](const ModelFigures& aRun) { return aRun.Fragmentation(); })
        << " |\n";
  }
}

}
