#include "review/cases_2/case_site.h"

#include "core/reason.h"
#include "links/http_request.h"
#include "tests/harness/http_client.h"
#include "tests/harness/loopback.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <unistd.h>
#include <utility>

namespace sardinecourse::review {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr Milliseconds kReadyTimeout{ 15'000 };
constexpr Milliseconds kRetryPause{ 300 };
/** A case ends itself within the 120 s that it may take. */
constexpr std::chrono::seconds kTimeLimit{ 115 };
constexpr const char* kQueuePath = "/one/";
constexpr const char* kKey = "k1";

std::string
ReadFile(const std::string& aPath)
{
  std::ostringstream text;
  text << std::ifstream(aPath).rdbuf();
  return text.str();
}

/** The settings that deploy/host.yaml.template has for the small site, with its
 * bounds. */
std::string
SettingsText(const std::string& aName,
             const Endpoint& aCallers,
             const Endpoint& aReadiness,
             const Endpoint& aStore)
{
  return "name: " + aName + "\ndata_centre: zone\ncallers: " + aCallers.Text() +
         "\nreadiness: " + aReadiness.Text() +
         "\nmetrics: " + harness::FreeEndpoint().Text() +
         "\nstore: " + aStore.Text() +
         "\ncore_share: 0.25\ngrace_s: 6\ntiming:\n  holder_lease_ms: 2000\n"
         "  worker_lease_ms: 10000\n  restart_s: 14\n  stop_ms: 900\n"
         "  reclaim_ms: 3400\n  revoke_ms: 5000\n";
}

}

bool
HasTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

CaseSite::CaseSite(const std::string& aRecord,
                   const std::string& aStandIn,
                   int aHosts,
                   int aWorkers)
  : record(aRecord)
  , site(harness::FreeEndpoint())
{
  harness::KillProcessesOnSignals(kTimeLimit);
  this->Record(HasTrouble() ? "with the disruption" : "without the disruption");
  this->platform.emplace(
    "review/bin-2/" + aStandIn,
    std::vector<std::string>{
      "--listen", this->site.Text(), "--workers", std::to_string(aWorkers) },
    this->folder.File("site.log"));
  harness::WaitForHttp(this->site, "/control/report", kOk, kReadyTimeout);
  std::string config = ReadFile("review/cases_2/config.json");
  const std::string placeholder = "@host@";
  for (auto found = config.find(placeholder); found != std::string::npos;
       found = config.find(placeholder)) {
    config.replace(found, placeholder.size(), this->site.Ip());
  }
  this->Control("config", json::parse(config));
  for (int host = 0; host < aHosts; ++host) {
    const std::string name = "host-" + std::to_string(host);
    HostFiles files;
    files.callers = harness::FreeEndpoint();
    files.readiness = harness::FreeEndpoint();
    files.log = this->folder.File(name + ".log");
    files.settings = this->folder.Write(
      name + ".yaml",
      SettingsText(name, files.callers, files.readiness, this->site));
    this->hosts.push_back(std::move(files));
    this->StartHost(this->hosts.size() - 1);
  }
}

bool
CaseSite::WaitUntilReady()
{
  const Instant deadline = Clock::now() + kReadyTimeout;
  for (std::size_t host = 0; host < this->hosts.size(); ++host) {
    auto answer = this->Call(host, "GET", "");
    while ((!answer || answer->status != kOk) && Clock::now() < deadline) {
      std::this_thread::sleep_for(kRetryPause);
      answer = this->Call(host, "GET", "");
    }
  }
  return Clock::now() < deadline;
}

void
CaseSite::StartHost(std::size_t aHost)
{
  HostFiles& host = this->hosts.at(aHost);
  this->Record("start host " + std::to_string(aHost));
  host.process.emplace("target/sardinecoursed",
                       std::vector<std::string>{ "--settings", host.settings },
                       host.log);
}

void
CaseSite::KillHost(std::size_t aHost, const std::string& aCause)
{
  this->Record("kill host " + std::to_string(aHost) + ": " + aCause);
  this->Host(aHost).Kill();
}

std::int64_t
CaseSite::MemoryMb(std::size_t aHost)
{
  if (!this->Host(aHost).IsRunning()) {
    return 0;
  }
  std::ifstream file("/proc/" + std::to_string(this->Host(aHost).Pid()) +
                     "/statm");
  std::int64_t size = 0;
  std::int64_t resident = 0;
  file >> size >> resident;
  constexpr std::int64_t kBytesPerMb = 1 << 20;
  return resident * sysconf(_SC_PAGESIZE) / kBytesPerMb;
}

std::optional<HttpAnswer>
CaseSite::Call(std::size_t aHost,
               const std::string& aMethod,
               const std::string& aJob,
               const json& aBody)
{
  HttpRequest request;
  request.method = aMethod;
  request.target = aJob.starts_with('/') ? aJob : kQueuePath + aJob;
  request.fields.Add("api-key", kKey);
  request.fields.Add("content-type", "application/json");
  if (!aBody.is_null()) {
    request.body = aBody.dump();
  }
  harness::HttpClient client(this->hosts.at(aHost).callers);
  std::optional<HttpAnswer> answer = client.Call(request, kCallTimeout);
  this->Record(aMethod + " " + request.target + " at host " +
               std::to_string(aHost) + " " + request.body + " -> " +
               (answer ? std::to_string(answer->status) + " " + answer->body
                       : "no answer"));
  return answer;
}

bool
CaseSite::Submit(std::size_t aHost,
                 const std::string& aJob,
                 const json& aBody,
                 int aTries)
{
  for (int attempt = 0; attempt < aTries; ++attempt) {
    const std::size_t host = (aHost + attempt) % this->hosts.size();
    const auto answer = this->Call(host, "POST", aJob, aBody);
    if (answer && answer->status == kOk) {
      return true;
    }
    std::this_thread::sleep_for(kRetryPause);
  }
  return false;
}

std::string
CaseSite::StateOf(std::size_t aHost, const std::string& aJob)
{
  const auto answer = this->Call(aHost, "GET", aJob);
  const json body = answer ? json::parse(answer->body, nullptr, false) : json();
  return body.is_object() ? body.value("State", "") : "";
}

void
CaseSite::SetWork(const std::string& aJob, int aCount, std::int64_t aWorkMs)
{
  const json step = { { "count", aCount },
                      { "work_ms", std::vector<std::int64_t>{ aWorkMs } } };
  this->Control("job", { { "job", aJob }, { "steps", { step } } });
}

json
CaseSite::Control(const std::string& aCommand, const json& aBody)
{
  harness::HttpClient client(this->site);
  const auto answer = client.Post("/control/" + aCommand,
                                  aBody.is_null() ? "{}" : aBody.dump(),
                                  kCallTimeout);
  return answer ? json::parse(answer->body, nullptr, false) : json();
}

std::size_t
CaseSite::RunsOf(const std::string& aJob)
{
  const json report = this->Control("report");
  std::size_t runs = 0;
  for (const json& run : report.value("running", json::array())) {
    runs += run.at(0).get<std::string>().starts_with(aJob + ".") ? 1 : 0;
  }
  this->Record("minions run " + std::to_string(runs) + " tasks of " + aJob +
               "; starts in all: " + report.value("starts", json()).dump() +
               "; violations: " + report.value("violations", json()).dump());
  return runs;
}

void
CaseSite::Record(const std::string& aLine)
{
  const auto now =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - this->startedAt);
  this->record << now.count() << " ms: " << aLine << std::endl;
}

int
CaseSite::Finish(bool aIsBroken, const std::string& aVerdict)
{
  this->Record((aIsBroken ? "BROKEN: " : "held: ") + aVerdict);
  this->End();
  return aIsBroken ? kRuleBroken : kRuleHeld;
}

int
CaseSite::GiveUp(const std::string& aCause)
{
  this->Record("not run: " + aCause);
  this->End();
  return kNotRun;
}

void
CaseSite::End()
{
  for (HostFiles& host : this->hosts) {
    host.process.reset();
  }
  this->platform.reset();
  this->folder.MarkPassed();
}

}
