#include "tests/model/worth_plot.h"

#include "tests/model/model_figures.h"
#include "tests/model/model_settings.h"

#include <array>
#include <ostream>

namespace sardinecourse {

namespace {

constexpr double kWidth = 900.0;
constexpr double kHeight = 360.0;
constexpr double kMargin = 40.0;
constexpr double kLegendLine = 16.0;
constexpr std::array kColours{ "#1f77b4", "#d62728", "#2ca02c", "#9467bd",
                               "#ff7f0e", "#8c564b", "#17becf", "#7f7f7f" };

std::map<int, std::pair<double, double>>
SumOf(const std::vector<std::vector<ModelFigures>>& aBySeed,
      std::size_t aPolicy)
{
  std::map<int, std::pair<double, double>> sums;
  for (const auto& figures : aBySeed) {
    for (const auto& [second, credit] : figures[aPolicy].bySecond) {
      sums[second].first += credit.first;
      sums[second].second += credit.second;
    }
  }
  return sums;
}

}

void
WriteWorthPlot(std::ostream& aTo,
               const ModelSettings& aSettings,
               const std::vector<std::vector<ModelFigures>>& aBySeed)
{
  constexpr double kMsPerSecond = 1000.0;
  const double seconds =
    static_cast<double>(aSettings.traffic.count()) / kMsPerSecond;
  aTo << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")" << kWidth
      << R"(" height=")" << kHeight
      << R"(" font-family="sans-serif" font-size="12">)" << '\n'
      << R"(<text x="40" y="20">Share of the owed credit that was earned, by )"
      << "second of arrival</text>\n"
      << R"(<path fill="none" stroke="black" d="M)" << kMargin << ' ' << kMargin
      << " V" << kHeight - kMargin << " H" << kWidth - kMargin << "\"/>\n";
  for (std::size_t policy = 0; policy < aSettings.policies.size(); ++policy) {
    const char* colour = kColours.at(policy % kColours.size());
    aTo << R"(<polyline fill="none" stroke=")" << colour << R"(" points=")";
    for (const auto& [second, credit] : SumOf(aBySeed, policy)) {
      const double share =
        credit.second == 0.0 ? 1.0 : credit.first / credit.second;
      aTo << kMargin + second / seconds * (kWidth - 2.0 * kMargin) << ','
          << kHeight - kMargin - share * (kHeight - 2.0 * kMargin) << ' ';
    }
    aTo << R"("/>)" << '\n'
        << R"(<text x=")" << kWidth - 4.0 * kMargin << R"(" y=")"
        << kMargin + kLegendLine * static_cast<double>(policy) << R"(" fill=")"
        << colour << R"(">)" << aSettings.policies[policy].first << "</text>\n";
  }
  aTo << "</svg>\n";
}

}
