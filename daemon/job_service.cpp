#include "daemon/job_service.h"

#include "codecs/decisions_json.h"
#include "contracts/placement_weights_builder.h"
#include "daemon/host_holder.h"
#include "daemon/job_resource.h"
#include "machines/holder_timing_builder.h"
#include "machines/host_settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr std::string_view kPrefix = "/jobs";
constexpr std::string_view kListPrefix = "/jobs?team=";
constexpr std::string_view kDecisionsSuffix = "/decisions";
constexpr int kOk = 200;
constexpr int kRedirect = 307;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kRenewalsPerLease = 3;
constexpr int kMarginsPerLease = 5;
constexpr int kPollsPerTaskLease = 3;

HolderTiming
TimingOf(const Policy& aPolicy)
{
  Reason reason;
  HolderTimingBuilder builder;
  builder.Lease(aPolicy.Lease()).Renewal(aPolicy.Lease() / kRenewalsPerLease);
  builder.Margin(aPolicy.Lease() / kMarginsPerLease);
  builder.TaskPoll(aPolicy.WorkerPoll());
  builder.TaskLease(aPolicy.WorkerPoll() * kPollsPerTaskLease);
  builder.CheckpointGrace(aPolicy.CheckpointGrace());
  return builder.Build(reason).value_or(HolderTiming());
}

PlacementWeights
WeightsOf(const Policy& aPolicy)
{
  Reason reason;
  return PlacementWeightsBuilder()
    .Completion(static_cast<std::int32_t>(aPolicy.CompletionWeight()))
    .Fragmentation(static_cast<std::int32_t>(aPolicy.FragmentationWeight()))
    .Build(reason)
    .value_or(PlacementWeights());
}

HttpAnswer
NoSuchResource(const std::string& aTarget)
{
  const Reason reason(Step::kDecode, aTarget, "no such resource");
  return JobRefusal(kNotFound, "not-run", reason);
}

}

struct JobService::Parts
{
  Parts(asio::io_context& aControl,
        PlatformLink& aPlatform,
        DaemonPeers& aPeers,
        const HostSettings& aSettings)
    : dataCentre(aSettings.Host().DataCentre())
    , workers(aControl, HolderTiming().CommandTimeout())
    , jobs(aPlatform, aPeers, this->dataCentre)
    , holder(aControl,
             aPlatform,
             this->workers,
             aPeers,
             aSettings.Host().Name(),
             this->dataCentre,
             HolderTiming())
  {
  }

  DataCentreName dataCentre;
  HttpWorkerLink workers;
  JobResource<PlatformLink, DaemonPeers> jobs;
  HostHolder holder;
  Fleet fleet;
  bool isStarted = false;
};

JobService::JobService(asio::io_context& aControl,
                       PlatformLink& aPlatform,
                       DaemonPeers& aPeers,
                       const HostSettings& aSettings)
  : control(&aControl)
  , parts(std::make_unique<Parts>(aControl, aPlatform, aPeers, aSettings))
{
}

JobService::~JobService() = default;

void
JobService::Adopt(const Fleet& aFleet)
{
  this->parts->fleet = aFleet;
  const SettingsScope here{ this->parts->dataCentre, {}, {} };
  const Policy policy = aFleet.Settings().Resolve(here);
  for (const DataCentre& dataCentre : aFleet.DataCentres()) {
    if (dataCentre.Name() == this->parts->dataCentre) {
      this->parts->holder.Adopt(dataCentre,
                                WeightsOf(policy),
                                policy.QuarantineFailures(),
                                TimingOf(policy));
    }
  }
  if (!std::exchange(this->parts->isStarted, true)) {
    this->parts->holder.Start();
  }
}

asio::awaitable<void>
JobService::Stop()
{
  co_await this->parts->holder.Stop();
}

bool
JobService::Serves(std::string_view aTarget)
{
  return aTarget.starts_with(kPrefix);
}

void
JobService::OnQueueChange()
{
  this->parts->holder.Notify();
}

bool
JobService::Promise(const HostName& aHolder, std::int64_t aTerm)
{
  return this->parts->holder.Promise(aHolder, aTerm);
}

asio::awaitable<HttpAnswer>
JobService::Handle(HttpRequest aRequest)
{
  HttpAnswer answer =
    co_await asio::co_spawn(*this->control,
                            this->HandleOnControl(std::move(aRequest)),
                            asio::use_awaitable);
  co_return answer;
}

asio::awaitable<HttpAnswer>
JobService::HandleOnControl(HttpRequest aRequest)
{
  if (!this->parts->isStarted) {
    const Reason reason(Step::kSettings, "", "no settings are in force yet");
    co_return JobRefusal(kUnavailable, "not-run", reason);
  }
  if (aRequest.target == kPrefix && aRequest.method == "POST") {
    HttpAnswer answer =
      co_await this->parts->jobs.Submit(aRequest.body, this->parts->fleet);
    this->parts->holder.Notify();
    co_return answer;
  }
  if (aRequest.target.starts_with(kListPrefix) && aRequest.method == "GET") {
    const TeamName team(
      PercentDecode(aRequest.target.substr(kListPrefix.size())));
    HttpAnswer answer = co_await this->parts->jobs.List(team);
    co_return answer;
  }
  if (!aRequest.target.starts_with("/jobs/")) {
    co_return NoSuchResource(aRequest.target);
  }
  std::string path = aRequest.target.substr(kPrefix.size() + 1);
  HttpAnswer answer =
    co_await this->HandleJob(std::move(aRequest), std::move(path));
  co_return answer;
}

/** Handles "TEAM/KEY" and "TEAM/KEY/decisions". */
asio::awaitable<HttpAnswer>
JobService::HandleJob(HttpRequest aRequest, std::string aPath)
{
  const bool isDecisionsRequest = aPath.ends_with(kDecisionsSuffix);
  if (isDecisionsRequest) {
    aPath.resize(aPath.size() - kDecisionsSuffix.size());
  }
  const std::size_t slash = aPath.find('/');
  if (slash == std::string::npos) {
    co_return NoSuchResource(aRequest.target);
  }
  const JobIdentity job{ TeamName(PercentDecode(aPath.substr(0, slash))),
                         JobKey(PercentDecode(aPath.substr(slash + 1))) };
  if (isDecisionsRequest) {
    HttpAnswer answer = co_await this->Explain(job.team, job.key);
    co_return answer;
  }
  if (aRequest.method == "DELETE") {
    HttpAnswer answer = co_await this->parts->jobs.Cancel(job);
    this->parts->holder.Notify();
    co_return answer;
  }
  HttpAnswer answer = co_await this->parts->jobs.Show(job);
  const auto* entry = this->parts->holder.Records().Find(job);
  if (answer.status == kUnavailable && entry != nullptr) {
    // The table is unavailable, but the holder has the record in its cache.
    co_return JobRecordAnswer(kOk, entry->record);
  }
  co_return answer;
}

/** Decisions are kept only by the holder; other hosts redirect to it. */
asio::awaitable<HttpAnswer>
JobService::Explain(TeamName aTeam, JobKey aKey)
{
  if (this->parts->holder.IsHolder()) {
    const std::vector<std::string> decisions =
      this->parts->holder.Decisions().ForJob({ aTeam, aKey });
    co_return JobAnswer(kOk, "done", EncodeDecisions(decisions));
  }
  const auto& row = this->parts->holder.Lease().Row();
  for (const DataCentre& dataCentre : this->parts->fleet.DataCentres()) {
    for (const EntryHost& host : dataCentre.EntryHosts()) {
      if (row && host.Name() == row->Host()) {
        HttpAnswer answer = JobAnswer(kRedirect, "not-run", "{}");
        answer.fields.Add("Location",
                          "http://" + host.Callers().Text() + "/jobs/" +
                            PercentEncode(aTeam.Text()) + "/" +
                            PercentEncode(aKey.Text()) + "/decisions");
        co_return answer;
      }
    }
  }
  const Reason reason(Step::kLease, "", "the holder is not known");
  co_return JobRefusal(kUnavailable, "not-run", reason);
}

}
