#include "tests/harness/site_deployment.h"

#include "codecs/base64.h"
#include "codecs/domain_owner_json.h"
#include "contracts/store_tables.h"
#include "core/reason.h"
#include "scheduling/store_rows.h"
#include "tests/harness/http_client.h"
#include "tests/harness/loopback.h"
#include "tests/harness/wait.h"

namespace sardinecourse::harness {

namespace {

using nlohmann::json;

constexpr Milliseconds kCallTimeout{ 4000 };
constexpr Milliseconds kReadyTimeout{ 20'000 };
constexpr Milliseconds kJobTimeout{ 40'000 };
constexpr int kOk = 200;
constexpr int kAcceleratorsPerMember = 8;

/** The catalog: one queue under the IP address that all daemons listen on, and
 * one team. */
json
Configuration(const std::string& aHost,
              std::int64_t aVersion,
              int aFurtherQueues,
              const std::string& aName = "r1")
{
  const json queue = {
    { "Name", aName },   { "Host", aHost },           { "PathPrefix", "/one/" },
    { "Service", "s1" }, { "Priority", 1 },           { "MaxAttempts", 3 },
    { "Stretch", 3.0 },  { "TargetDurationMs", 1000 }
  };
  json queues = json::array({ queue });
  for (int further = 0; further < aFurtherQueues; ++further) {
    json added = queue;
    added["Name"] = "further" + std::to_string(further);
    added["PathPrefix"] = "/further" + std::to_string(further) + "/";
    queues.push_back(std::move(added));
  }
  const json team = { { "Name", "t1" }, { "ApiKeys", { "k1" } } };
  return { { "Version", aVersion },
           { "Routes", std::move(queues) },
           { "Tenants", json::array({ team }) } };
}

}

SiteDeployment::SiteDeployment(int aHosts,
                               int aWorkers,
                               const std::string& aHostSettings)
  : site(FreeEndpoint())
{
  this->platform.emplace(
    "tests/site_stand_in",
    std::vector<std::string>{
      "--listen", this->site.Text(), "--workers", std::to_string(aWorkers) },
    this->folder.File("site"));
  WaitForHttp(this->site, "/control/report", kOk, kReadyTimeout);
  this->Configure(1, 0);
  this->daemons.resize(aHosts);
  for (int host = 0; host < aHosts; ++host) {
    const std::string name = "host" + std::to_string(host);
    this->callers.push_back(FreeEndpoint());
    this->readiness.push_back(FreeEndpoint());
    this->metrics.push_back(FreeEndpoint());
    this->storeLinks.push_back(
      std::make_unique<Relay>(FreeEndpoint(), this->site));
    this->logs.push_back(this->folder.File(name + ".log"));
    this->settings.push_back(this->folder.Write(
      name + ".yaml",
      "name: " + name +
        "\ndata_centre: zone\ncallers: " + this->callers.back().Text() +
        "\nreadiness: " + this->readiness.back().Text() +
        "\nmetrics: " + this->metrics.back().Text() + "\nstore: " +
        this->storeLinks.back()->Address().Text() + "\n" + aHostSettings));
    this->Start(host);
  }
}

void
SiteDeployment::Start(std::size_t aHost)
{
  this->daemons[aHost].emplace(
    "sardinecoursed",
    std::vector<std::string>{ "--settings", this->settings[aHost] },
    this->logs[aHost]);
}

bool
SiteDeployment::WaitUntilReady(std::size_t aHost) const
{
  return WaitForHttp(this->readiness[aHost], "/api/ready", kOk, kReadyTimeout);
}

bool
SiteDeployment::IsReady(std::size_t aHost, Milliseconds aTimeout) const
{
  HttpClient client(this->readiness[aHost]);
  const auto answer = client.Get("/api/ready", aTimeout);
  return answer && answer->status == kOk;
}

std::optional<std::size_t>
SiteDeployment::StoredHolder() const
{
  HttpClient client(this->site);
  const auto answer =
    client.Get("/api/rows-get?Table=" + kLeaseTable + "&part=" + kLeaseTable +
                 "&From=" + kOwnerRow,
               kCallTimeout);
  const json page = answer ? json::parse(answer->body, nullptr, false) : json();
  if (!page.is_object() || page.value("rows", json::array()).empty()) {
    return std::nullopt;
  }
  const auto text = DecodeBase64(page["rows"][0].value("Value", ""));
  Reason ignored; // Without a readable row there is no holder.
  const auto owner = DecodeDomainOwner(text.value_or(""), ignored);
  constexpr std::size_t kPrefixLength = 4; // "host"
  if (!owner || owner->Host().Text().size() <= kPrefixLength) {
    return std::nullopt;
  }
  return std::stoul(owner->Host().Text().substr(kPrefixLength));
}

std::optional<std::size_t>
SiteDeployment::Holder() const
{
  std::optional<std::size_t> holder;
  std::int64_t latest = 0;
  for (std::size_t host = 0; host < this->daemons.size(); ++host) {
    std::istringstream log(this->daemons[host]->Log());
    for (std::string line; std::getline(log, line);) {
      const json entry = json::parse(line, nullptr, false);
      const bool isTakeover = entry.is_object() &&
                              entry.value("event", "") == "domain_takeover" &&
                              entry.value("committed", 0) == 1;
      if (isTakeover && entry.value("term", std::int64_t{ 0 }) > latest) {
        latest = entry.value("term", std::int64_t{ 0 });
        holder = host;
      }
    }
  }
  return holder;
}

json
SiteDeployment::Control(const std::string& aCommand, const json& aBody) const
{
  HttpClient client(this->site);
  const auto answer =
    client.Post("/control/" + aCommand, aBody.dump(), kCallTimeout);
  return answer ? json::parse(answer->body, nullptr, false) : json();
}

std::optional<HttpAnswer>
SiteDeployment::Send(std::size_t aHost,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aKey,
                     const std::string& aBody) const
{
  HttpRequest request;
  request.method = aMethod;
  request.target = aPath;
  request.fields.Add("Api-Key", aKey);
  request.fields.Add("X-Deadline-Remaining", "3000");
  request.body = aBody;
  HttpClient client(this->callers[aHost]);
  return client.Call(request, kCallTimeout);
}

void
SiteDeployment::Configure(std::int64_t aVersion, int aFurtherQueues) const
{
  this->Control("config",
                Configuration(this->site.Ip(), aVersion, aFurtherQueues));
}

void
SiteDeployment::RenameQueue(std::int64_t aVersion,
                            const std::string& aName) const
{
  this->Control("config", Configuration(this->site.Ip(), aVersion, 0, aName));
}

void
SiteDeployment::PrepareJob(const std::string& aJob,
                           int aMembers,
                           int aWorkMs) const
{
  this->Control("step",
                { { "name", aJob + ".0.0" },
                  { "count", aMembers },
                  { "gang", true },
                  { "accelerators", kAcceleratorsPerMember },
                  { "work_ms", aWorkMs } });
}

std::string
SiteDeployment::JobBody(int aMembers, int aWorkMs)
{
  const json body = { { "Spec", "text" },
                      { "Steps",
                        { { { "Count", aMembers },
                            { "Gang", true },
                            { "Gpu", kAcceleratorsPerMember },
                            { "EstimateMs", aWorkMs } } } } };
  return body.dump();
}

int
SiteDeployment::Submit(std::size_t aHost,
                       const std::string& aJob,
                       int aMembers,
                       int aWorkMs) const
{
  this->PrepareJob(aJob, aMembers, aWorkMs);
  const auto answer =
    this->Send(aHost, "POST", PathOf(aJob), "k1", JobBody(aMembers, aWorkMs));
  return answer ? answer->status : 0;
}

int
SiteDeployment::Call(std::size_t aHost,
                     const std::string& aMethod,
                     const std::string& aPath,
                     const std::string& aKey) const
{
  const auto answer = this->Send(aHost, aMethod, aPath, aKey, "");
  return answer ? answer->status : 0;
}

std::string
SiteDeployment::StateOf(std::size_t aHost, const std::string& aJob) const
{
  const auto answer = this->Send(aHost, "GET", PathOf(aJob), "k1", "");
  const json body =
    answer ? json::parse(answer->body, nullptr, false) : json::object();
  return body.is_object() ? body.value("State", "") : "";
}

std::optional<std::int64_t>
SiteDeployment::PendingOf(std::size_t aHost) const
{
  const auto answer = this->Send(aHost, "GET", PathOf(""), "k1", "");
  const json body =
    answer ? json::parse(answer->body, nullptr, false) : json::object();
  const bool isCount = body.is_object() && body.contains("Pending");
  return isCount ? std::optional(body.value("Pending", std::int64_t{ -1 }))
                 : std::nullopt;
}

bool
SiteDeployment::WaitForState(std::size_t aHost,
                             const std::string& aJob,
                             const std::string& aState) const
{
  return WaitUntil(kJobTimeout,
                   [&] { return this->StateOf(aHost, aJob) == aState; });
}

}
