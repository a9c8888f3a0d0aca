#include "daemon/request_metrics.h"

#include "machines/minion_slot.h"
#include "zones/minion_table.h"

#include <array>
#include <boost/histogram.hpp>
#include <sstream>

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
constexpr std::array kBoundsSeconds{ 0.0005, 0.001, 0.002, 0.003, 0.005, 0.01,
                                     0.02,   0.05,  0.1,   0.2,   0.5,   1.0,
                                     2.0,    5.0,   10.0,  30.0,  60.0 };

auto
MakeDurations()
{
  return bh::make_histogram_with(
    Counters(),
    OutcomeAxis(0, static_cast<int>(kOutcomes.size())),
    DurationAxis(kBoundsSeconds.begin(), kBoundsSeconds.end()));
}

void
WriteCounter(std::ostream& aTo, std::string_view aName, std::uint64_t aValue)
{
  aTo << "# TYPE " << aName << " counter\n" << aName << ' ' << aValue << '\n';
}

void
WriteMinions(std::ostream& aTo, const MinionTable& aTable)
{
  aTo << "# TYPE sardinecourse_minion_in_flight gauge\n"
         "# TYPE sardinecourse_minion_connections gauge\n"
         "# TYPE sardinecourse_minion_leaving gauge\n";
  for (const auto& slot : aTable.All()) {
    const std::string labels = "{minion=\"" + slot->Upstream().Name().Text() +
                               "\",service=\"" +
                               slot->Upstream().Service().Text() + "\"} ";
    aTo << "sardinecourse_minion_in_flight" << labels << slot->InFlight()
        << "\nsardinecourse_minion_connections" << labels
        << slot->OpenConnections() << "\nsardinecourse_minion_leaving" << labels
        << (slot->Leaving() ? 1 : 0) << '\n';
  }
}

}

struct RequestMetrics::Histograms
{
  decltype(MakeDurations()) durations = MakeDurations();
  std::array<std::atomic<std::uint64_t>, kOutcomes.size()> microseconds{};
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
  this->histograms->microseconds.at(static_cast<std::size_t>(outcome))
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
  std::ostringstream text;
  text << "# TYPE sardinecourse_request_duration_seconds histogram\n";
  std::ostringstream totals;
  totals << "# TYPE sardinecourse_requests_total counter\n";
  for (std::size_t outcome = 0; outcome < kOutcomes.size(); ++outcome) {
    const std::string label =
      "outcome=\"" + std::string(RequestOutcomeName(kOutcomes[outcome])) + '"';
    std::uint64_t count = 0;
    // The bins before the first bound, between bounds, and after the last.
    for (int bin = -1; bin < static_cast<int>(kBoundsSeconds.size()); ++bin) {
      count +=
        this->histograms->durations.at(static_cast<int>(outcome), bin).load();
      const std::size_t bound = static_cast<std::size_t>(bin) + 1;
      text << "sardinecourse_request_duration_seconds_bucket{" << label
           << ",le=\"";
      if (bound < kBoundsSeconds.size()) {
        text << kBoundsSeconds[bound];
      } else {
        text << "+Inf";
      }
      text << "\"} " << count << '\n';
    }
    constexpr double kMicrosecondsPerSecond = 1e6;
    const double sum =
      static_cast<double>(this->histograms->microseconds[outcome].load()) /
      kMicrosecondsPerSecond;
    text << "sardinecourse_request_duration_seconds_sum{" << label << "} "
         << sum << "\nsardinecourse_request_duration_seconds_count{" << label
         << "} " << count << '\n';
    totals << "sardinecourse_requests_total{" << label << "} " << count << '\n';
  }
  text << totals.str();
  WriteCounter(
    text, "sardinecourse_request_retries_total", this->retries.load());
  WriteCounter(text, "sardinecourse_requests_shed_total", this->shed.load());
  WriteMinions(text, aTable);
  return text.str();
}

}
