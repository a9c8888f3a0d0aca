#include "tests/soak/rehearsal_callers.h"

#include "links/http_answer.h"
#include "links/http_request.h"
#include "tests/harness/site_deployment.h"
#include "tests/soak/disruption_log.h"
#include "tests/soak/load_balancer.h"
#include "tests/soak/violation_log.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sardinecourse::harness {

namespace {

using nlohmann::json;
using Outcome = SoakJob::Outcome;

constexpr int kOk = 200;
constexpr int kNoJob = 410;
constexpr int kUnknownKey = 401;
constexpr int kNoQueue = 404;
constexpr int kRejected = 429;
constexpr int kNotRun = 503;
constexpr int kMaxSubmits = 5;
constexpr int kMaxShowsAfterEnd = 3;
/** How long callers wait for an answer. */
constexpr Milliseconds kDeadline{ 3000 };
/** A connection that ends without an answer later than this after the request
 * was sent has lost a request that the host had read. */
constexpr Milliseconds kLossSlack{ 200 };
/** Within this time of the deadline the caller may have ended the call. */
constexpr Milliseconds kDeadlineSlack{ 100 };
/** Time without disruption from which on the rules hold. */
constexpr Milliseconds kContactTime{ 3000 };
/** Time after an acceptance from which on every host shows the job. */
constexpr Milliseconds kVisibleTime{ 3000 };
/** From this time after the answer to a cancellation on, a start of the job is
 * a violation. */
constexpr Milliseconds kCancelGrace{ 3000 };
constexpr Milliseconds kPollInterval{ 5 };

bool
IsFinal(const std::string& aState)
{
  return aState == "completed" || aState == "failed" || aState == "cancelled";
}

}

RehearsalCallers::RehearsalCallers(SiteDeployment& aSite,
                                   const LoadBalancer& aBalancer,
                                   const DisruptionLog& aDisruptions,
                                   ViolationLog& aViolations,
                                   std::vector<RehearsalJob> aJobs,
                                   int aCallers,
                                   unsigned aSeed,
                                   Instant aStart)
  : site(&aSite)
  , balancer(&aBalancer)
  , disruptions(&aDisruptions)
  , violations(&aViolations)
  , jobs(std::move(aJobs))
{
  for (int index = 0; index < aCallers; ++index) {
    auto caller = std::make_unique<Caller>();
    caller->random.seed(aSeed * aCallers + index);
    this->callers.push_back(std::move(caller));
  }
  for (std::size_t job = 0; job < this->jobs.size(); ++job) {
    Caller& caller = *this->callers[job % this->callers.size()];
    caller.jobs.push_back(job);
    caller.actions.push(
      Action{ aStart + this->jobs[job].arrival, Call::kSubmit, job });
  }
  for (const std::unique_ptr<Caller>& caller : this->callers) {
    this->threads.emplace_back([this, &caller] { this->Run(*caller); });
  }
}

RehearsalCallers::~RehearsalCallers()
{
  this->Stop();
}

void
RehearsalCallers::Stop()
{
  this->isStopping = true;
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
RehearsalCallers::AskAtEnd()
{
  this->isAtEnd = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
}

void
RehearsalCallers::Run(Caller& aCaller)
{
  while (!this->isStopping && !this->isAtEnd) {
    if (aCaller.actions.empty() || aCaller.actions.top().at > Clock::now()) {
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    const Action action = aCaller.actions.top();
    aCaller.actions.pop();
    this->Execute(aCaller, action);
  }
  if (this->isAtEnd) {
    for (const std::size_t job : aCaller.jobs) {
      this->AskAtEnd(aCaller, job);
    }
  }
}

void
RehearsalCallers::Execute(Caller& aCaller, const Action& aAction)
{
  switch (aAction.call) {
    case Call::kSubmit:
      this->Submit(aCaller, aAction.job);
      break;
    case Call::kRepeat:
      this->Repeat(aCaller, aAction.job);
      break;
    case Call::kShow:
      this->Show(aCaller, aAction.job);
      break;
    case Call::kCancel:
      this->Cancel(aCaller, aAction.job);
      break;
    case Call::kForbid:
      this->site->Control("forbid", { { "job", this->jobs[aAction.job].key } });
      break;
  }
}

void
RehearsalCallers::Submit(Caller& aCaller, std::size_t aJob)
{
  RehearsalJob& job = this->jobs[aJob];
  this->site->Control("job", json::parse(job.properties));
  const Instant deadline = Clock::now() + kDeadline;
  job.outcome = Outcome::kRefused;
  for (int attempt = 0; attempt < kMaxSubmits; ++attempt) {
    const auto left =
      std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    if (left.count() <= 0) {
      break;
    }
    const auto answer = this->Send(aCaller, "POST", job, job.body, left);
    const int status = answer ? answer->status : 0;
    if (status == kOk) {
      job.outcome = Outcome::kAccepted;
      job.acceptedAt = Clock::now();
      break;
    }
    const bool isRefused = status == kNotRun || status == kRejected;
    const bool isUnsent =
      !answer && aCaller.connection->Progress() == ExchangeProgress::kNotSent;
    if (!isRefused && !isUnsent) {
      job.outcome = Outcome::kUnknown;
    }
    std::this_thread::sleep_for(this->Draw(aCaller, 50, 300));
  }
  if (job.outcome == Outcome::kRefused) {
    this->violations->Count("refused");
    this->site->Control("forbid", { { "job", job.key } });
    return;
  }
  this->violations->Count(job.outcome == Outcome::kAccepted ? "accepted"
                                                            : "unknown");
  if (job.outcome == Outcome::kUnknown) {
    return;
  }
  const Instant now = job.acceptedAt;
  this->site->Control("follow", { { "job", job.key }, { "steps", job.steps } });
  aCaller.actions.push(
    Action{ now + this->Draw(aCaller, 200, 1000), Call::kShow, aJob });
  constexpr int kRepeatEvery = 20;
  if (aCaller.random() % kRepeatEvery == 0) {
    aCaller.actions.push(
      Action{ now + this->Draw(aCaller, 1500, 4000), Call::kRepeat, aJob });
  }
  if (job.cancelAt) {
    aCaller.actions.push(
      Action{ now + (*job.cancelAt - job.arrival), Call::kCancel, aJob });
  }
}

void
RehearsalCallers::Repeat(Caller& aCaller, std::size_t aJob)
{
  RehearsalJob& job = this->jobs[aJob];
  this->Send(aCaller, "POST", job, job.body, kDeadline);
}

void
RehearsalCallers::Show(Caller& aCaller, std::size_t aJob)
{
  RehearsalJob& job = this->jobs[aJob];
  const Instant sent = Clock::now();
  const auto answer = this->Send(aCaller, "GET", job, "", kDeadline);
  if (answer && answer->status == kOk) {
    const json body = json::parse(answer->body, nullptr, false);
    this->JudgeState(
      aCaller, job, body.is_object() ? body.value("State", "") : "");
  } else if (answer && answer->status == kNoJob && !job.isCancelSent &&
             sent > job.acceptedAt + kVisibleTime) {
    const std::size_t host = aCaller.host;
    const std::string disruptions =
      this->disruptions->UnplannedIn(host, sent - kContactTime, Clock::now()) +
      this->disruptions->PlannedIn(host, sent - kContactTime, Clock::now());
    const std::string record =
      job.path + " accepted at " +
      std::to_string(this->disruptions->Since(job.acceptedAt)) +
      " ms, sent at " + std::to_string(this->disruptions->Since(sent)) +
      " ms: " + answer->body + " " + this->Logs(host);
    if (disruptions.empty()) {
      this->violations->Add("unknown_job", record);
    } else {
      this->violations->Count("unknown_job_not_in_touch");
      this->disruptions->Print("unknown job, not in touch (" + disruptions +
                               "): " + record);
    }
  } else if (answer &&
             (answer->status == kNoQueue || answer->status == kUnknownKey)) {
    this->violations->Count("shown_" + std::to_string(answer->status));
  }
  job.showsAfterEnd += IsFinal(job.state) ? 1 : 0;
  if (job.showsAfterEnd <= kMaxShowsAfterEnd) {
    aCaller.actions.push(Action{
      Clock::now() + this->Draw(aCaller, 300, 1200), Call::kShow, aJob });
  }
}

void
RehearsalCallers::JudgeState(const Caller& aCaller,
                             RehearsalJob& aJob,
                             const std::string& aState)
{
  const bool isNew = aJob.state != aState;
  const bool hasChangedBack = isNew && IsFinal(aJob.state);
  const std::string before = std::exchange(aJob.state, aState);
  const auto addViolation = [&](const std::string& aFacts) {
    this->violations->Add(
      "shown_wrong",
      aJob.path + " is shown as \"" + aState + "\", before as \"" + before +
        "\" at " + std::to_string(this->disruptions->Since(Clock::now())) +
        " ms " + aFacts + this->Logs(aCaller.host));
  };
  if (hasChangedBack || aState.empty()) {
    addViolation("");
    return;
  }
  if (!isNew || !IsFinal(aState)) {
    return;
  }
  this->violations->Count(aState);
  const json facts = this->site->Control("judge", { { "job", aJob.key } });
  const bool isWrong = (aState == "cancelled" && !aJob.isCancelSent) ||
                       (aState == "failed" && !facts.value("failed", true)) ||
                       (aState == "completed" && !facts.value("done", true));
  if (isWrong) {
    addViolation(facts.dump() + " ");
  }
}

void
RehearsalCallers::Cancel(Caller& aCaller, std::size_t aJob)
{
  RehearsalJob& job = this->jobs[aJob];
  // Also without an answer the job may be cancelled.
  job.isCancelSent = true;
  this->site->Control("unfollow", { { "job", job.key } });
  const auto answer = this->Send(aCaller, "DELETE", job, "", kDeadline);
  if (answer && answer->status == kOk) {
    job.outcome = Outcome::kCancelled;
    aCaller.actions.push(
      Action{ Clock::now() + kCancelGrace, Call::kForbid, aJob });
  } else {
    job.outcome = Outcome::kUnknown;
  }
}

void
RehearsalCallers::AskAtEnd(Caller& aCaller, std::size_t aJob)
{
  const RehearsalJob& job = this->jobs[aJob];
  if (job.outcome != Outcome::kAccepted) {
    return;
  }
  const Instant deadline = Clock::now() + kDeadline;
  std::string last = "no answer";
  while (Clock::now() < deadline) {
    const auto left =
      std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
    const auto answer = this->Send(aCaller, "GET", job, "", left);
    if (answer && answer->status == kOk) {
      return;
    }
    last = answer ? std::to_string(answer->status) : "no answer";
    if (answer && answer->status == kNoJob) {
      break;
    }
    std::this_thread::sleep_for(this->Draw(aCaller, 50, 300));
  }
  this->violations->Add(
    "unknown_at_end",
    job.path + " accepted at " +
      std::to_string(this->disruptions->Since(job.acceptedAt)) +
      " ms: " + last + " " + this->Logs(aCaller.host));
}

std::optional<HttpAnswer>
RehearsalCallers::Send(Caller& aCaller,
                       const std::string& aMethod,
                       const RehearsalJob& aJob,
                       const std::string& aBody,
                       Milliseconds aDeadline)
{
  constexpr int kReconnectEvery = 4;
  if (aCaller.isBroken || aCaller.random() % kReconnectEvery == 0) {
    aCaller.host = this->balancer->Select(aCaller.random);
    aCaller.connection =
      std::make_unique<HttpClient>(this->site->Callers(aCaller.host));
  }
  HttpRequest request;
  request.method = aMethod;
  request.target = aJob.path;
  request.fields.Add("Api-Key", aJob.apiKey);
  request.fields.Add("X-Deadline-Remaining", std::to_string(aDeadline.count()));
  request.body = aBody;
  this->violations->Count("calls");
  const Instant sent = Clock::now();
  auto answer = aCaller.connection->Call(request, aDeadline);
  aCaller.isBroken = !answer;
  if (!answer) {
    this->JudgeUnanswered(aCaller, aMethod + " " + aJob.path, sent, aDeadline);
  }
  return answer;
}

void
RehearsalCallers::JudgeUnanswered(const Caller& aCaller,
                                  const std::string& aCall,
                                  Instant aSent,
                                  Milliseconds aDeadline)
{
  const Instant end = Clock::now();
  const auto took = std::chrono::duration_cast<Milliseconds>(end - aSent);
  if (aCaller.connection->Progress() == ExchangeProgress::kNotSent ||
      took <= kLossSlack) {
    return;
  }
  const std::size_t host = aCaller.host;
  const std::string planned = this->disruptions->PlannedIn(host, aSent, end);
  const std::string unplanned =
    this->disruptions->UnplannedIn(host, aSent - kContactTime, end);
  const std::string record =
    aCall + " sent at " + std::to_string(this->disruptions->Since(aSent)) +
    " ms, ended after " + std::to_string(took.count()) +
    " ms: " + aCaller.connection->LastReason().Message() +
    "; planned: " + planned + "; unplanned: " + unplanned + " " +
    this->Logs(host);
  const bool isDeadline = took >= aDeadline - kDeadlineSlack;
  if (!unplanned.empty()) {
    this->violations->Count("unanswered_disrupted");
  } else if (isDeadline) {
    this->violations->Count("deadline_calm");
    this->disruptions->Print("deadline on a calm host: " + record);
  } else if (planned.empty()) {
    this->violations->Count("unanswered_calm");
    this->disruptions->Print("unanswered without planned work: " + record);
  } else {
    this->violations->Add("request_unanswered", record);
  }
}

Milliseconds
RehearsalCallers::Draw(Caller& aCaller, int aMinMs, int aMaxMs) const
{
  std::uniform_int_distribution<int> time(aMinMs, aMaxMs);
  return Milliseconds(time(aCaller.random));
}

std::string
RehearsalCallers::Logs(std::size_t aHost) const
{
  const auto holder = this->site->StoredHolder();
  return "[host: " + this->site->LogPath(aHost) + ", holder: " +
         (holder ? this->site->LogPath(*holder) : std::string("none")) + "]";
}

}
