#include "tests/soak/open_callers.h"

#include "links/http_answer.h"
#include "links/http_request.h"
#include "tests/harness/http_client.h"
#include "tests/harness/site_deployment.h"
#include "tests/soak/host_pauses.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace sardinecourse::harness {

namespace {

/** A call is given up after this time, and the longest series of pauses of its
 * host. */
constexpr Milliseconds kCallTimeout{ 4000 };
constexpr Milliseconds kMaxPausedTime{ 20'000 };
/** Time that a caller gives its request, and by which an answer may be later.
 */
constexpr Milliseconds kDeadline{ 3000 };
constexpr Milliseconds kDeadlineSlack{ 500 };
constexpr Milliseconds kCallPause{ 15 };
/** A connection that ends without an answer later than this after the request
 * was sent has lost a request that the host had read. */
constexpr Milliseconds kLossSlack{ 200 };
/** Time after an acceptance from which on every host shows the job. */
constexpr Milliseconds kVisibleTime{ 3000 };
constexpr int kOk = 200;
constexpr int kNoJob = 410;
/** The job goes on as if nobody had cancelled it. */
constexpr int kNotCancelled = 503;
constexpr int kUnknownKey = 401;
constexpr int kNoQueue = 404;

}

OpenCallers::OpenCallers(SiteDeployment& aSite,
                         const HostPauses& aPauses,
                         int aCallers,
                         unsigned aSeed)
  : site(&aSite)
  , pauses(&aPauses)
{
  for (int index = 0; index < aCallers; ++index) {
    auto caller = std::make_unique<Caller>();
    caller->name = "p" + std::to_string(index);
    caller->random.seed(aSeed * aCallers + index);
    for (std::size_t host = 0; host < aSite.Hosts(); ++host) {
      caller->connections.push_back(
        std::make_unique<HttpClient>(aSite.Callers(host)));
    }
    this->callers.push_back(std::move(caller));
  }
  for (const std::unique_ptr<Caller>& caller : this->callers) {
    this->threads.emplace_back([this, &caller] { this->Run(*caller); });
  }
}

OpenCallers::~OpenCallers()
{
  this->Stop();
}

void
OpenCallers::Stop()
{
  this->isStopping = true;
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

std::vector<std::string>
OpenCallers::Violations() const
{
  const std::lock_guard lock(this->mutex);
  return this->violations;
}

std::vector<SoakJob>
OpenCallers::AcceptedJobs() const
{
  std::vector<SoakJob> accepted;
  for (const std::unique_ptr<Caller>& caller : this->callers) {
    for (const auto& [key, job] : caller->jobs) {
      if (job.outcome != SoakJob::Outcome::kCancelled) {
        accepted.push_back(SoakJob{ key, job.outcome, Clock::now() });
      }
    }
  }
  return accepted;
}

void
OpenCallers::Run(Caller& aCaller)
{
  while (!this->isStopping) {
    switch (aCaller.random() % 32) {
      case 0:
        this->SubmitJob(aCaller);
        break;
      case 1:
        this->CancelJob(aCaller);
        break;
      default:
        this->ShowJob(aCaller);
        break;
    }
    std::this_thread::sleep_for(kCallPause);
  }
}

void
OpenCallers::SubmitJob(Caller& aCaller)
{
  const std::string key = aCaller.name + "j" + std::to_string(aCaller.nextJob);
  const int workMs = static_cast<int>(100 + aCaller.random() % 900);
  this->site->PrepareJob(key, 1, workMs);
  std::string body = SiteDeployment::JobBody(1, workMs);
  const int status =
    this->Send(aCaller, "POST", SiteDeployment::PathOf(key), body);
  if (status == kOk) {
    aCaller.jobs[key] = AcceptedJob{ Clock::now() };
    ++aCaller.nextJob;
  } else if (status == kNoQueue || status == kUnknownKey) {
    this->AddViolation(key + " was refused with " + std::to_string(status));
  }
  // After any other answer, or none, the next submit repeats the key.
}

void
OpenCallers::ShowJob(Caller& aCaller)
{
  if (aCaller.jobs.empty()) {
    return;
  }
  auto chosen = aCaller.jobs.begin();
  std::advance(chosen, aCaller.random() % aCaller.jobs.size());
  const Instant sentAt = Clock::now();
  std::string body;
  const int status =
    this->Send(aCaller, "GET", SiteDeployment::PathOf(chosen->first), body);
  if (status == kNoQueue || status == kUnknownKey ||
      (status == kNoJob && sentAt > chosen->second.acceptedAt + kVisibleTime)) {
    this->AddViolation("accepted job " + chosen->first + " was shown as " +
                       std::to_string(status));
  }
  if (status != kOk) {
    return;
  }
  const nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
  const std::string state = answer.is_object() ? answer.value("State", "") : "";
  const bool isWrong =
    state == "failed" ||
    (state == "cancelled" &&
     chosen->second.outcome == SoakJob::Outcome::kAccepted) ||
    state.empty();
  if (isWrong) {
    this->AddViolation(chosen->first + " is shown as \"" + state + "\"");
  }
}

void
OpenCallers::CancelJob(Caller& aCaller)
{
  if (aCaller.jobs.empty()) {
    return;
  }
  auto& [key, job] = *std::prev(aCaller.jobs.end());
  std::string body;
  const int status =
    this->Send(aCaller, "DELETE", SiteDeployment::PathOf(key), body);
  if (status == kOk) {
    job.outcome = SoakJob::Outcome::kCancelled;
  } else if (status != kNotCancelled &&
             job.outcome != SoakJob::Outcome::kCancelled) {
    job.outcome = SoakJob::Outcome::kMaybeCancelled;
  }
  if (status == kNoJob) {
    this->AddViolation("accepted job " + key + " was unknown to a cancel");
  }
}

int
OpenCallers::Send(Caller& aCaller,
                  const std::string& aMethod,
                  const std::string& aPath,
                  std::string& aBody)
{
  const std::size_t host = aCaller.random() % aCaller.connections.size();
  HttpClient& connection = *aCaller.connections[host];
  HttpRequest request;
  request.method = aMethod;
  request.target = aPath;
  request.fields.Add("Api-Key", "k1");
  request.fields.Add("X-Deadline-Remaining", std::to_string(kDeadline.count()));
  request.body = aBody;
  ++this->calls;
  const Instant sentAt = Clock::now();
  const std::string call =
    aMethod + " " + aPath + " to host" + std::to_string(host);
  const auto answer = connection.Call(request, kCallTimeout + kMaxPausedTime);
  if (answer) {
    this->CheckAnswerTime(host, sentAt, call);
    aBody = answer->body;
    return answer->status;
  }
  ++this->unanswered;
  if (connection.Progress() == ExchangeProgress::kMaybeSent) {
    this->CheckUnanswered(host, sentAt, call, connection.LastReason());
  }
  return 0;
}

void
OpenCallers::CheckUnanswered(std::size_t aHost,
                             Instant aSentAt,
                             const std::string& aCall,
                             const Reason& aReason)
{
  const auto took =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - aSentAt);
  const Milliseconds paused = this->pauses->PausedTime(aHost, aSentAt);
  // A host that was stopped and suspended may have closed the connection before
  // it was suspended, and so has not read the request.
  const bool isUnread =
    paused.count() > 0 && this->pauses->WasStopping(aHost, aSentAt);
  if (took > kLossSlack && !(isUnread && took <= paused + kLossSlack)) {
    this->AddViolation(aCall + " ended after " + std::to_string(took.count()) +
                       " ms, " + std::to_string(paused.count()) +
                       " of them suspended: " + aReason.Message());
  }
}

void
OpenCallers::CheckAnswerTime(std::size_t aHost,
                             Instant aSentAt,
                             const std::string& aCall)
{
  const auto took =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - aSentAt);
  const Milliseconds paused = this->pauses->PausedTime(aHost, aSentAt);
  if (took > paused + kDeadline + kDeadlineSlack) {
    this->AddViolation(aCall + " was answered after " +
                       std::to_string(took.count()) + " ms, " +
                       std::to_string(paused.count()) + " of them suspended");
  }
}

void
OpenCallers::AddViolation(const std::string& aViolation)
{
  const std::lock_guard lock(this->mutex);
  this->violations.push_back(aViolation);
}

}
