#include "tests/load/load_report.h"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

namespace sardinecourse {

namespace bh = boost::histogram;

namespace {

constexpr int kBins = 4000;
constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 100;

auto
MakeTimes()
{
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;
  return bh::make_histogram(Axis(kBins, kMinSeconds, kMaxSeconds));
}

}

struct LoadReport::Times
{
  decltype(MakeTimes()) histogram = MakeTimes();
};

LoadReport::LoadReport()
  : times(std::make_unique<Times>())
{
}

LoadReport::~LoadReport() = default;

void
LoadReport::Add(const std::string& aOutcome, double aSeconds)
{
  ++this->outcomes[aOutcome];
  if (aOutcome == "done") {
    this->times->histogram(aSeconds);
  }
}

void
LoadReport::Merge(const LoadReport& aOther)
{
  for (const auto& [outcome, count] : aOther.outcomes) {
    this->outcomes[outcome] += count;
  }
  this->times->histogram += aOther.times->histogram;
}

double
LoadReport::Percentile(double aFraction) const
{
  const double total = bh::algorithm::sum(this->times->histogram);
  double cumulative = 0;
  for (int bin = -1; bin <= kBins; ++bin) {
    cumulative += this->times->histogram.at(bin);
    if (cumulative >= total * aFraction && bin >= 0) {
      return this->times->histogram.axis().bin(bin).upper();
    }
  }
  return 0;
}

std::string
LoadReport::Json(double aElapsedSeconds) const
{
  constexpr double kMsPerSecond = 1000;
  nlohmann::json report;
  report["outcomes"] = this->outcomes;
  const auto done = this->outcomes.find("done");
  const double count =
    done == this->outcomes.end() ? 0 : static_cast<double>(done->second);
  report["done_per_s"] = count / aElapsedSeconds;
  report["p50_ms"] = this->Percentile(0.5) * kMsPerSecond;
  report["p95_ms"] = this->Percentile(0.95) * kMsPerSecond;
  report["p99_ms"] = this->Percentile(0.99) * kMsPerSecond;
  return report.dump();
}

}
