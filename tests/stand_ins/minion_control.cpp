#include "tests/stand_ins/minion_control.h"

#include "tests/stand_ins/simulated_minion.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

namespace {

using Json = nlohmann::json;

constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr std::string_view kMinionsPrefix = "/minions/";

template<typename Field>
void
Read(const Json& aObject, const char* aKey, Field& aField)
{
  aField = aObject.value(aKey, aField);
}

void
Apply(const Json& aObject, SimulatedMinion& aMinion)
{
  MinionFaults& faults = aMinion.Faults();
  Read(aObject, "service_us", faults.serviceUs);
  Read(aObject, "late_every", faults.lateEvery);
  Read(aObject, "late_ms", faults.lateMs);
  Read(aObject, "truncate_every", faults.truncateEvery);
  Read(aObject, "duplicate_every", faults.duplicateEvery);
  Read(aObject, "stale_every", faults.staleEvery);
  Read(aObject, "drop_every", faults.dropEvery);
  Read(aObject, "silent_every", faults.silentEvery);
  Read(aObject, "close_every", faults.closeEvery);
  Read(aObject, "fail_every", faults.failEvery);
  Read(aObject, "refuse", faults.refuse);
  Read(aObject, "leaving", faults.leaving);
  Read(aObject, "mute", faults.mute);
  if (aObject.contains("name")) {
    aMinion.Rename(aObject.at("name").get<std::string>());
  }
  if (aObject.value("silence_open", false)) {
    aMinion.SilenceOpenConnections();
  }
}

}

boost::asio::awaitable<HttpAnswer>
MinionControl::Handle(HttpRequest aRequest)
{
  const std::string_view target = aRequest.target;
  if (target == "/record") {
    co_return this->Record();
  }
  if (target.starts_with(kMinionsPrefix) && target.ends_with("/faults")) {
    const std::string_view rest = target.substr(kMinionsPrefix.size());
    co_return this->SetFaults(rest.substr(0, rest.find('/')), aRequest.body);
  }
  HttpAnswer answer;
  answer.status = kNotFound;
  co_return answer;
}

HttpAnswer
MinionControl::SetFaults(std::string_view aName, const std::string& aBody)
{
  HttpAnswer answer;
  const Json object = Json::parse(aBody, nullptr, false);
  if (!object.is_object()) {
    answer.status = kBadRequest;
    return answer;
  }
  answer.status = kNotFound;
  for (const auto& minion : *this->minions) {
    if (aName == "all" || aName == minion->Name()) {
      Apply(object, *minion);
      answer.status = 200;
    }
  }
  return answer;
}

HttpAnswer
MinionControl::Record() const
{
  Json record = Json::array();
  for (const auto& minion : *this->minions) {
    for (const MinionExecution& execution : minion->Executions()) {
      record.push_back({ { "minion", minion->Name() },
                         { "identity", execution.identity },
                         { "body", execution.body },
                         { "start_us", execution.startUs },
                         { "end_us", execution.endUs } });
    }
  }
  HttpAnswer answer;
  answer.fields.Add("Content-Type", "application/json");
  answer.body = record.dump();
  return answer;
}

}
