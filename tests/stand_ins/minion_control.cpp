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
ReadField(const Json& aObject, const char* aKey, Field& aField)
{
  aField = aObject.value(aKey, aField);
}

void
ApplyFaults(const Json& aObject, SimulatedMinion& aMinion)
{
  MinionFaults& faults = aMinion.Faults();
  ReadField(aObject, "service_us", faults.serviceUs);
  ReadField(aObject, "late_every", faults.lateEvery);
  ReadField(aObject, "late_ms", faults.lateMs);
  ReadField(aObject, "truncate_every", faults.truncateEvery);
  ReadField(aObject, "duplicate_every", faults.duplicateEvery);
  ReadField(aObject, "stale_every", faults.staleEvery);
  ReadField(aObject, "drop_every", faults.dropEvery);
  ReadField(aObject, "silent_every", faults.silentEvery);
  ReadField(aObject, "close_every", faults.closeEvery);
  ReadField(aObject, "fail_every", faults.failEvery);
  ReadField(aObject, "refuse", faults.refuse);
  ReadField(aObject, "leaving", faults.leaving);
  ReadField(aObject, "mute", faults.mute);
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
      ApplyFaults(object, *minion);
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
