#include "tests/harness/job_deployment.h"

#include "codecs/json_fields.h"
#include "core/reason.h"
#include "tests/harness/http_client.h"
#include "tests/harness/loopback.h"
#include "tests/harness/settings_client.h"
#include "tests/harness/wait.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kCallTimeout{ 10000 };
constexpr Milliseconds kReadyTimeout{ 15000 };
constexpr Milliseconds kProbeTimeout{ 500 };
constexpr int kWorkersPerRack = 6;
constexpr int kTeams = 4;
constexpr std::size_t kMinWorkersForTwoMembers = 8;
constexpr int kOk = 200;

std::string
HostName(int aIndex)
{
  return "east" + std::to_string(aIndex + 1);
}

std::string
YamlLine(const std::string& aKey, const std::string& aValue)
{
  return aKey + ": " + aValue + "\n";
}

}

JobDeployment::JobDeployment(int aWorkers, int aDaemons, Milliseconds aPoll)
  : workerPoll(aPoll)
  , platform(FreeEndpoint())
{
  Reason reason;
  const Endpoint first = FreeEndpoint();
  for (int index = 0; index < aWorkers; ++index) {
    this->workers.push_back(*Endpoint::Parse(
      first.Ip() + ":" + std::to_string(20000 + index), reason));
  }
  for (int index = 0; index < aDaemons; ++index) {
    this->callers.push_back(FreeEndpoint());
    this->peers.push_back(FreeEndpoint());
  }
  const std::vector<std::string> platformArguments{ "--listen",
                                                    this->platform.Text() };
  this->processes.emplace_back("tests/platform_stand_in",
                               platformArguments,
                               this->folder.File("platform"));
  const std::vector<std::string> workerArguments{ this->workers[0].Text(),
                                                  std::to_string(aWorkers) };
  this->processes.emplace_back(
    "tests/worker_stand_in", workerArguments, this->folder.File("workers"));
  WaitForHttp(this->platform, "/counts", kOk, kReadyTimeout);
  WaitForHttp(this->workers.back(), "/record", kOk, kReadyTimeout);
  for (int index = 0; index < aDaemons; ++index) {
    this->folder.Write(HostName(index) + ".yaml", this->HostText(index));
    this->daemons.emplace_back(
      "sardinecoursed",
      std::vector<std::string>{ "--settings",
                                this->folder.File(HostName(index) + ".yaml") },
      this->folder.File(HostName(index) + ".log"));
  }
}

bool
JobDeployment::WaitReady()
{
  return PutFirstSettingsInForce(
           this->callers.front(), this->FleetText(), kReadyTimeout) &&
         WaitUntil(kReadyTimeout, [this] {
           return this->Holder() >= 0 &&
                  std::ranges::all_of(
                    this->callers, [](const Endpoint& aDaemon) {
                      return RevisionInForce(aDaemon, kProbeTimeout)
                               .value_or(0) > 0;
                    });
         });
}

void
JobDeployment::Restart(int aIndex)
{
  this->daemons[aIndex] =
    Process("sardinecoursed",
            { "--settings", this->folder.File(HostName(aIndex) + ".yaml") },
            this->folder.File(HostName(aIndex) + ".again.log"));
}

int
JobDeployment::Holder()
{
  HttpClient client(this->platform);
  const auto answer =
    client.Post("/table/read", R"({"key":"holder/east"})", kCallTimeout);
  for (int index = 0; answer && index < this->Daemons(); ++index) {
    if (answer->body.find("host\\\":\\\"" + HostName(index)) !=
        std::string::npos) {
      return index;
    }
  }
  return -1;
}

void
JobDeployment::SetWorkerFaults(int aWorker, const std::string& aFaults)
{
  HttpClient client(this->workers[aWorker]);
  client.Post("/faults", aFaults, kCallTimeout);
}

void
JobDeployment::SetPlatformFaults(const std::string& aFaults)
{
  HttpClient client(this->platform);
  client.Post("/faults", aFaults, kCallTimeout);
}

int
JobDeployment::Submit(int aDaemon,
                      const std::string& aTeam,
                      const std::string& aKey,
                      int aMembers,
                      int aAccelerators,
                      Milliseconds aRunTime,
                      bool aUrgent)
{
  const nlohmann::json body = { { "team", aTeam },
                                { "service", "fretdesk" },
                                { "key", aKey },
                                { "members", aMembers },
                                { "accelerators", aAccelerators },
                                { "run_time_ms", aRunTime.count() },
                                { "urgent", aUrgent } };
  HttpClient client(this->callers[aDaemon]);
  const auto answer = client.Post("/jobs", body.dump(), kCallTimeout);
  return answer ? answer->status : 0;
}

int
JobDeployment::Cancel(int aDaemon,
                      const std::string& aTeam,
                      const std::string& aKey)
{
  HttpRequest request;
  request.method = "DELETE";
  request.target = "/jobs/" + aTeam + "/" + aKey;
  HttpClient client(this->callers[aDaemon]);
  const auto answer = client.Call(request, kCallTimeout);
  return answer ? answer->status : 0;
}

std::string
JobDeployment::State(const std::string& aTeam, const std::string& aKey)
{
  for (const Endpoint& daemon : this->callers) {
    HttpClient client(daemon);
    const auto answer =
      client.Get("/jobs/" + aTeam + "/" + aKey, kProbeTimeout);
    const auto object = answer && answer->status == kOk
                          ? ParseJsonObject(answer->body)
                          : std::nullopt;
    if (object) {
      return TextField(*object, "state");
    }
  }
  return "";
}

bool
JobDeployment::WaitForState(const std::string& aTeam,
                            const std::string& aKey,
                            const std::string& aState,
                            Milliseconds aTimeout)
{
  return WaitUntil(aTimeout, [this, &aTeam, &aKey, &aState] {
    return this->State(aTeam, aKey) == aState;
  });
}

std::vector<TaskEvent>
JobDeployment::TaskEvents()
{
  HttpClient client(this->workers.front());
  const auto answer = client.Get("/record", kCallTimeout);
  std::vector<TaskEvent> events;
  if (!answer) {
    return events;
  }
  const nlohmann::json record =
    nlohmann::json::parse(answer->body, nullptr, false);
  for (const nlohmann::json& item : record) {
    TaskEvent event;
    event.atMs = IntegerField(item, "at_ms");
    event.worker = TextField(item, "worker");
    event.event = TextField(item, "event");
    event.task = TextField(item, "task");
    event.team = TextField(item, "team");
    event.job = TextField(item, "job");
    event.term = IntegerField(item, "term");
    event.sequence = IntegerField(item, "sequence");
    event.member = SmallIntegerField(item, "member");
    event.members = SmallIntegerField(item, "members");
    events.push_back(event);
  }
  return events;
}

std::int64_t
JobDeployment::TableWrites()
{
  HttpClient client(this->platform);
  const auto answer = client.Get("/counts", kCallTimeout);
  const auto object = answer ? ParseJsonObject(answer->body) : std::nullopt;
  return object ? IntegerField(*object, "writes") : 0;
}

std::string
JobDeployment::FleetText() const
{
  std::string text = YamlLine("name", "test");
  text +=
    YamlLine("settings",
             "{worker_poll_ms: " + std::to_string(this->workerPoll.count()) +
               ", checkpoint_grace_ms: 1000}");
  text += "data_centres:\n  east:\n    entry_hosts:\n";
  for (int index = 0; index < static_cast<int>(this->callers.size()); ++index) {
    text += YamlLine("      " + HostName(index),
                     "{callers: '" + this->callers[index].Text() +
                       "', peers: '" + this->peers[index].Text() + "'}");
  }
  text += "    racks:\n";
  for (int index = 0; index < static_cast<int>(this->workers.size()); ++index) {
    if (index % kWorkersPerRack == 0) {
      text += "      r" + std::to_string(index / kWorkersPerRack) + ":\n" +
              "        workers:\n";
    }
    text += YamlLine("          w" + std::to_string(index),
                     "{address: '" + this->workers[index].Text() +
                       "', accelerators: 8, cores: 64, memory_mb: 131072}");
  }
  // The guarantees of all teams together must fit on the workers.
  const std::size_t members =
    this->workers.size() < kMinWorkersForTwoMembers ? 1 : 2;
  text += "    teams:\n";
  for (int team = 0; team < kTeams; ++team) {
    text += YamlLine(
      "      t" + std::to_string(team),
      "{quota: 1000, guarantees: [{members: " + std::to_string(members) +
        ", accelerators_per_member: 8}]}");
  }
  return text;
}

std::string
JobDeployment::HostText(int aIndex) const
{
  return YamlLine("name", HostName(aIndex)) + YamlLine("data_centre", "east") +
         YamlLine("callers", "'" + this->callers[aIndex].Text() + "'") +
         YamlLine("peers", "'" + this->peers[aIndex].Text() + "'") +
         YamlLine("platform", "['" + this->platform.Text() + "']") +
         YamlLine("threads", "1");
}

}
