#include "daemon/request_metrics.h"

#include "codecs/metrics_text.h"
#include "machines/minion_state.h"
#include "zones/minion_table.h"

#include <array>
#include <boost/histogram.hpp>
#include <string_view>

namespace sardinecourse {

namespace bh = boost::histogram;

namespace {

using Counter = bh::accumulators::thread_safe<std::uint64_t>;
using Counters = bh::dense_storage<Counter>;
using OutcomeAxis =
  bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using DurationAxis = bh::axis::variable<double>;

constexpr std::array kOutcomes{ RequestOutcome::kDone,
                                RequestOutcome::kNotRun,
                                RequestOutcome::kNotKnown };
constexpr std::array kBucketBoundsSeconds{ 0.0005, 0.001, 0.002, 0.003, 0.005,
                                           0.01,   0.02,  0.05,  0.1,   0.2,
                                           0.5,    1.0,   2.0,   5.0,   10.0,
                                           30.0,   60.0 };

auto
MakeDurations()
{
  return bh::make_histogram_with(
    Counters(),
    OutcomeAxis(0, static_cast<int>(kOutcomes.size())),
    DurationAxis(kBucketBoundsSeconds.begin(), kBucketBoundsSeconds.end()));
}

std::string
OutcomeLabel(RequestOutcome aOutcome)
{
  return "outcome=\"" + std::string(RequestOutcomeName(aOutcome)) + '"';
}

void
WriteMinions(MetricsText& aText, const MinionTable& aTable)
{
  constexpr std::string_view kInFlight = "sardinecourse_minion_in_flight";
  constexpr std::string_view kConnections = "sardinecourse_minion_connections";
  constexpr std::string_view kLeaving = "sardinecourse_minion_leaving";
  for (const std::string_view name : { kInFlight, kConnections, kLeaving }) {
    aText.Type(name, "gauge");
  }
  for (const auto& minion : aTable.All()) {
    const std::string labels = "minion=\"" + minion->Upstream().Name().Text() +
                               "\",service=\"" +
                               minion->Upstream().Service().Text() + '"';
    aText.Value(kInFlight, labels, minion->InFlight());
    aText.Value(kConnections, labels, minion->OpenConnections());
    aText.Value(kLeaving, labels, minion->Leaving() ? 1 : 0);
  }
}

}

struct RequestMetrics::Histograms
{
  decltype(MakeDurations()) durations = MakeDurations();
  std::array<std::atomic<std::uint64_t>, kOutcomes.size()> totalMicroseconds{};
};

RequestMetrics::RequestMetrics()
  : histograms(std::make_unique<Histograms>())
{
}

RequestMetrics::~RequestMetrics() = default;

void
RequestMetrics::Record(RequestOutcome aOutcome, Clock::duration aDuration)
{
  const auto outcome = static_cast<int>(aOutcome);
  const std::chrono::duration<double> seconds = aDuration;
  const auto microseconds =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  this->histograms->durations(outcome, seconds.count());
  this->histograms->totalMicroseconds.at(static_cast<std::size_t>(outcome))
    .fetch_add(static_cast<std::uint64_t>(microseconds),
               std::memory_order_relaxed);
}

void
RequestMetrics::RecordRetry()
{
  this->retries.fetch_add(1, std::memory_order_relaxed);
}

void
RequestMetrics::RecordShed()
{
  this->shed.fetch_add(1, std::memory_order_relaxed);
}

std::string
RequestMetrics::Text(const MinionTable& aTable) const
{
  constexpr std::string_view kDuration =
    "sardinecourse_request_duration_seconds";
  constexpr std::string_view kTotal = "sardinecourse_requests_total";
  constexpr double kMicrosecondsPerSecond = 1e6;
  MetricsText text;
  std::array<std::uint64_t, kOutcomes.size()> counts{};
  text.Type(kDuration, "histogram");
  for (std::size_t outcome = 0; outcome < kOutcomes.size(); ++outcome) {
    const std::string label = OutcomeLabel(kOutcomes[outcome]);
    counts[outcome] =
      text.Buckets(kDuration, label, kBucketBoundsSeconds, [&](int aBucket) {
        return this->histograms->durations
          .at(static_cast<int>(outcome), aBucket)
          .load();
      });
    const double sum =
      static_cast<double>(this->histograms->totalMicroseconds[outcome].load()) /
      kMicrosecondsPerSecond;
    text.Value("sardinecourse_request_duration_seconds_sum", label, sum);
  }
  text.Type(kTotal, "counter");
  for (std::size_t outcome = 0; outcome < kOutcomes.size(); ++outcome) {
    text.Value(kTotal, OutcomeLabel(kOutcomes[outcome]), counts[outcome]);
  }
  text.Counter("sardinecourse_request_retries_total", this->retries.load());
  text.Counter("sardinecourse_requests_shed_total", this->shed.load());
  WriteMinions(text, aTable);
  return text.Text();
}

}
