#include "review/stand_in/scenario.h"

#include "review/stand_in/words.h"

#include <chrono>
#include <functional>
#include <thread>

namespace review {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kUnknown = 504;
constexpr std::int64_t kReadyTimeoutMs = 15'000;
constexpr std::int64_t kFirstJobTimeoutMs = 15'000;
constexpr int kSubmitAttempts = 5;

json
Queue(const std::string& aName,
      const char* aPrefix,
      int aPriority,
      int aAllowanceMs,
      int aTimeoutMs = 3000)
{
  return { { "Name", aName },           { "Host", "nony24.example" },
           { Word("prefix"), aPrefix }, { "Kind", "unsafe" },
           { "TimeoutMs", aTimeoutMs }, { Word("allowance"), aAllowanceMs },
           { "Priority", aPriority },   { "Service", "huvo11a" },
           { Word("attempts"), 4 },     { "Stretch", 3.0 },
           { "Public", false } };
}

json
Configuration(int aVersion, const std::string& aUsualRoute, int aTimeoutMs)
{
  return { { "Version", aVersion },
           { "Routes",
             { Queue("r-yyjsg3a", "/pufi791/", 0, 250),
               Queue(aUsualRoute, "/lohu930/", 1, 1000, aTimeoutMs),
               Queue("r-jwyy7yx", "/pule252/", 2, 3000) } },
           { "Services",
             json::array(
               { { { "Name", "huvo11a" }, { "AdmissionCheck", false } } }) },
           { "Tenants",
             json::array({ { { "Name", "kaje80" },
                             { Word("keys"), { Scenario::kKey } },
                             { "Priority", 1 },
                             { "Guaranteed", { { "Gpu", 72 } } } } }) } };
}

}

Scenario::Scenario(const Site::Shape& aShape, int aHosts, Record& aRecord)
  : record(&aRecord)
  , site(
      aShape,
      [this](const std::string& aTask, std::int64_t) {
        return this->WorkOfTask(aTask);
      },
      aRecord)
  , daemons(aHosts, this->site, aRecord)
{
  this->Reconfigure(7, "r-7ejsmzz", 3000);
}

Work
Scenario::WorkOfTask(const std::string& aTask)
{
  const std::lock_guard lock(this->mutex);
  const std::string job = aTask.substr(0, aTask.find('.'));
  const auto span = this->spans.find(job);
  if (span != this->spans.end()) {
    const auto [first, last] = span->second;
    const std::int64_t now = this->record->NowMs();
    const std::int64_t end =
      first + static_cast<std::int64_t>(std::hash<std::string>()(aTask) %
                                        static_cast<std::size_t>(last - first));
    return end > now ? Work{ end - now, "done" } : Work{ 2500, "done" };
  }
  const auto found = this->works.find(job);
  return found == this->works.end() ? Work{ 2500, "done" } : found->second;
}

void
Scenario::SetWork(const std::string& aJob, const Work& aWork)
{
  const std::lock_guard lock(this->mutex);
  this->works[aJob] = aWork;
}

void
Scenario::Reconfigure(int aVersion,
                      const std::string& aUsualRoute,
                      int aTimeoutMs)
{
  const json configuration = Configuration(aVersion, aUsualRoute, aTimeoutMs);
  this->Note("operator: configuration " + configuration.dump());
  this->site.Configure(configuration);
}

void
Scenario::SetEnds(const std::string& aJob,
                  std::int64_t aFirstMs,
                  std::int64_t aLastMs)
{
  const std::lock_guard lock(this->mutex);
  this->spans[aJob] = { aFirstMs, aLastMs };
}

bool
Scenario::Begin()
{
  if (!this->daemons.WaitUntilReady(kReadyTimeoutMs)) {
    this->Note("the daemons did not become ready");
    return false;
  }
  const std::string path = UrgentPath("00000000000000f1");
  this->SetWork("00000000000000f1", Work{ 500, "done" });
  if (this->Submit(0, path, UrgentBody(3)) != kOk) {
    this->Note("the first job was not accepted");
    return false;
  }
  const std::int64_t deadline = this->NowMs() + kFirstJobTimeoutMs;
  while (this->Get(0, path).State() != "completed") {
    if (this->NowMs() > deadline) {
      this->Note("the first job was not completed");
      return false;
    }
    SleepMs(500);
  }
  return true;
}

int
Scenario::Submit(std::size_t aHost, const std::string& aPath, const json& aBody)
{
  ClientCall call;
  call.method = "POST";
  call.path = aPath;
  call.key = kKey;
  call.body = aBody.dump();
  int status = 0;
  for (int attempt = 0; attempt < kSubmitAttempts; ++attempt) {
    status = this->daemons.Send((aHost + attempt) % this->daemons.Hosts(), call)
               .status;
    if (status != 0 && status != kUnknown) {
      return status;
    }
  }
  return status;
}

ClientAnswer
Scenario::Get(std::size_t aHost, const std::string& aPath)
{
  ClientCall call;
  call.path = aPath;
  call.key = kKey;
  return this->daemons.Send(aHost, call);
}

ClientAnswer
Scenario::Cancel(std::size_t aHost, const std::string& aPath)
{
  ClientCall call;
  call.method = "DELETE";
  call.path = aPath;
  call.key = kKey;
  return this->daemons.Send(aHost, call);
}

void
Scenario::SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void
Scenario::SleepUntil(const Record& aRecord, std::int64_t aAtMs)
{
  const std::int64_t left = aAtMs - aRecord.NowMs();
  if (left > 0) {
    SleepMs(left);
  }
}

std::string
UrgentPath(const std::string& aJob)
{
  return "/pufi791/" + aJob;
}

std::string
UsualPath(const std::string& aJob)
{
  return "/lohu930/" + aJob;
}

std::string
BatchPath(const std::string& aJob)
{
  return "/pule252/" + aJob;
}

json
JobBody(const json& aStep)
{
  return { { "Spec", "book a bench" }, { "Steps", json::array({ aStep }) } };
}

json
UrgentBody(int aTasks)
{
  return JobBody({ { "Count", aTasks },
                   { "Cpu", 7500 },
                   { "MemMb", 15'000 },
                   { "Gpu", 1 },
                   { Word("estimate"), 2500 } });
}

}
