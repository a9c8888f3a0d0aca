#include "scheduling/domain_metrics.h"

#include "codecs/metrics_text.h"
#include "contracts/event_names.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <string_view>

namespace sardinecourse {

namespace bh = boost::histogram;

namespace {

using Counter = bh::accumulators::thread_safe<std::uint64_t>;
using Counters = bh::dense_storage<Counter>;
using IntegerAxis =
  bh::axis::integer<int, bh::use_default, bh::axis::option::none_t>;
using DurationAxis = bh::axis::variable<double>;

constexpr int kCalls = static_cast<int>(JobCall::Kind::kOther) + 1;
constexpr int kReplies = static_cast<int>(JobReply::Kind::kNotKnown) + 1;
constexpr std::array<std::string_view, 18> kEvents{
  "takeovers",           "domain_losses",     "starts",
  "starts_refused",      "starts_unanswered", "stops",
  "preemptions",         "looks_failed",      "store_calls_failed",
  "runs_done",           "runs_failed",       "runs_lost",
  "jobs_not_loaded",     "starts_withheld",   "pace_changes",
  "disturbance_changes", "backlog_refusals",  "long_leases"
};
constexpr std::size_t kWaitReasons =
  static_cast<std::size_t>(WaitReason::kNoRoom) + 1;
/** Higher priorities are counted with the last one. */
constexpr int kPriorities = 4;
constexpr std::array kBoundsSeconds{ 0.005, 0.01, 0.02, 0.05, 0.1,  0.2,
                                     0.5,   1.0,  2.0,  5.0,  10.0, 30.0 };

auto
MakeCalls()
{
  return bh::make_histogram_with(
    Counters(),
    IntegerAxis(0, kCalls),
    IntegerAxis(0, kReplies),
    DurationAxis(kBoundsSeconds.begin(), kBoundsSeconds.end()));
}

auto
MakeWaits()
{
  return bh::make_histogram_with(
    Counters(),
    IntegerAxis(0, kPriorities),
    DurationAxis(kBoundsSeconds.begin(), kBoundsSeconds.end()));
}

auto
MakeSilences()
{
  return bh::make_histogram_with(
    Counters(), DurationAxis(kBoundsSeconds.begin(), kBoundsSeconds.end()));
}

}

struct DomainMetrics::Series
{
  decltype(MakeCalls()) calls = MakeCalls();
  decltype(MakeWaits()) waits = MakeWaits();
  decltype(MakeSilences()) silences = MakeSilences();
  std::array<std::atomic<std::uint64_t>, kEvents.size()> events{};
  std::atomic<std::size_t> closedDataCentres = 0;
  std::array<std::atomic<std::int64_t>, kWaitReasons> idleJobs{};
  std::atomic<std::int64_t> longestIdleMs = 0;
};

DomainMetrics::Event
DomainMetrics::EventOf(RunOutcome aOutcome)
{
  switch (aOutcome) {
    case RunOutcome::kDone:
      return Event::kRunDone;
    case RunOutcome::kFailed:
      return Event::kRunFailed;
    default:
      return Event::kRunLost;
  }
}

DomainMetrics::DomainMetrics()
  : series(std::make_unique<Series>())
{
}

DomainMetrics::~DomainMetrics() = default;

void
DomainMetrics::CountCall(JobCall::Kind aKind,
                         JobReply::Kind aOutcome,
                         Clock::duration aDuration)
{
  const std::chrono::duration<double> seconds = aDuration;
  this->series->calls(
    static_cast<int>(aKind), static_cast<int>(aOutcome), seconds.count());
}

void
DomainMetrics::RecordPlacementWait(std::int32_t aPriority, Milliseconds aWait)
{
  const std::chrono::duration<double> seconds = aWait;
  this->series->waits(std::clamp(aPriority, 0, kPriorities - 1),
                      seconds.count());
}

void
DomainMetrics::RecordGivenUp(std::int64_t aRuns, Milliseconds aSilent)
{
  const std::chrono::duration<double> seconds = aSilent;
  for (std::int64_t run = 0; run < aRuns; ++run) {
    this->series->silences(seconds.count());
  }
}

void
DomainMetrics::SetClosedDataCentres(std::size_t aCount)
{
  this->series->closedDataCentres.store(aCount, std::memory_order_relaxed);
}

void
DomainMetrics::SetIdleJobs(const std::map<WaitReason, std::int64_t>& aCounts,
                           Milliseconds aLongest)
{
  for (std::size_t reason = 0; reason < kWaitReasons; ++reason) {
    const auto found = aCounts.find(static_cast<WaitReason>(reason));
    this->series->idleJobs.at(reason).store(
      found == aCounts.end() ? 0 : found->second, std::memory_order_relaxed);
  }
  this->series->longestIdleMs.store(aLongest.count(),
                                    std::memory_order_relaxed);
}

void
DomainMetrics::Count(Event aEvent)
{
  this->series->events.at(static_cast<std::size_t>(aEvent))
    .fetch_add(1, std::memory_order_relaxed);
}

std::uint64_t
DomainMetrics::CountOf(Event aEvent) const
{
  return this->series->events.at(static_cast<std::size_t>(aEvent))
    .load(std::memory_order_relaxed);
}

std::string
DomainMetrics::Text() const
{
  MetricsText text;
  for (std::size_t event = 0; event < kEvents.size(); ++event) {
    text.Counter("sardinecourse_" + std::string(kEvents[event]) + "_total",
                 this->CountOf(static_cast<Event>(event)));
  }
  constexpr std::string_view kClosed = "sardinecourse_data_centres_closed";
  text.Type(kClosed, "gauge");
  text.Value(kClosed,
             "",
             this->series->closedDataCentres.load(std::memory_order_relaxed));
  constexpr std::string_view kIdleJobs = "sardinecourse_jobs_idle";
  text.Type(kIdleJobs, "gauge");
  for (std::size_t reason = 0; reason < kWaitReasons; ++reason) {
    const std::string_view name =
      WaitReasonName(static_cast<WaitReason>(reason));
    text.Value(kIdleJobs,
               "reason=\"" + std::string(name) + '"',
               this->series->idleJobs.at(reason).load());
  }
  constexpr std::string_view kLongestIdle =
    "sardinecourse_jobs_idle_longest_seconds";
  text.Type(kLongestIdle, "gauge");
  text.Value(kLongestIdle,
             "",
             std::chrono::duration<double>(
               Milliseconds(this->series->longestIdleMs.load()))
               .count());
  constexpr std::string_view kCallSeconds = "sardinecourse_call_seconds";
  text.Type(kCallSeconds, "histogram");
  for (int call = 0; call < kCalls; ++call) {
    for (int outcome = 0; outcome < kReplies; ++outcome) {
      const std::string labels =
        "call=\"" + std::string(JobCallName(static_cast<JobCall::Kind>(call))) +
        "\",outcome=\"" +
        std::string(JobReplyName(static_cast<JobReply::Kind>(outcome))) + '"';
      text.Buckets(kCallSeconds, labels, kBoundsSeconds, [&](int aBucket) {
        return this->series->calls.at(call, outcome, aBucket).load();
      });
    }
  }
  constexpr std::string_view kWaits = "sardinecourse_placement_wait_seconds";
  text.Type(kWaits, "histogram");
  for (int priority = 0; priority < kPriorities; ++priority) {
    text.Buckets(kWaits,
                 "priority=\"" + std::to_string(priority) + '"',
                 kBoundsSeconds,
                 [&](int aBucket) {
                   return this->series->waits.at(priority, aBucket).load();
                 });
  }
  constexpr std::string_view kSilences = "sardinecourse_given_up_after_seconds";
  text.Type(kSilences, "histogram");
  text.Buckets(kSilences, "", kBoundsSeconds, [&](int aBucket) {
    return this->series->silences.at(aBucket).load();
  });
  return text.Text();
}

}
