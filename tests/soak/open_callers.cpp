#include "tests/soak/open_callers.h"

#include "links/http_answer.h"
#include "links/http_request.h"
#include "tests/harness/http_client.h"
#include "tests/harness/site_deployment.h"

#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kCallTimeout{ 4000 };
constexpr Milliseconds kCallPause{ 15 };
/** A connection that ends without an answer later than this after the request
 * was sent has lost a request that the host had read. */
constexpr Milliseconds kLossSlack{ 200 };
/** Time after an acceptance from which on every host shows the job. */
constexpr Milliseconds kVisibleTime{ 3000 };
constexpr int kOk = 200;
constexpr int kNoJob = 410;
constexpr int kUnknownKey = 401;
constexpr int kNoQueue = 404;

}

OpenCallers::OpenCallers(SiteDeployment& aSite, int aCallers, unsigned aSeed)
  : site(&aSite)
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

std::vector<std::string>
OpenCallers::AcceptedJobs() const
{
  std::vector<std::string> keys;
  for (const std::unique_ptr<Caller>& caller : this->callers) {
    for (const auto& [key, job] : caller->jobs) {
      if (!job.isCancelled) {
        keys.push_back(key);
      }
    }
  }
  return keys;
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
  const bool isWrong = state == "failed" ||
                       (state == "cancelled" && !chosen->second.isCancelled) ||
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
  // Also without an answer the job may be cancelled.
  job.isCancelled = true;
  std::string body;
  const int status =
    this->Send(aCaller, "DELETE", SiteDeployment::PathOf(key), body);
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
  request.fields.Add("X-Deadline-Remaining", "3000");
  request.body = aBody;
  ++this->calls;
  const Instant sentAt = Clock::now();
  const auto answer = connection.Call(request, kCallTimeout);
  if (answer) {
    aBody = answer->body;
    return answer->status;
  }
  ++this->unanswered;
  const auto took =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - sentAt);
  if (connection.Progress() == ExchangeProgress::kMaybeSent &&
      took > kLossSlack) {
    this->AddViolation(aMethod + " " + aPath + " to host" +
                       std::to_string(host) + " ended after " +
                       std::to_string(took.count()) +
                       " ms: " + connection.LastReason().Message());
  }
  return 0;
}

void
OpenCallers::AddViolation(const std::string& aViolation)
{
  const std::lock_guard lock(this->mutex);
  this->violations.push_back(aViolation);
}

}
