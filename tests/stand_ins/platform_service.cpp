#include "tests/stand_ins/platform_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace sardinecourse {

using nlohmann::json;
namespace asio = boost::asio;

namespace {

constexpr Milliseconds kHangPollInterval{ 50 };
constexpr std::string_view kObjectsPrefix = "/objects/";

HttpAnswer
Answer(int aStatus, const json& aBody)
{
  HttpAnswer answer;
  answer.status = aStatus;
  answer.fields.Add("Content-Type", "application/json");
  answer.body = aBody.dump();
  return answer;
}

}

PlatformService::PlatformService(asio::io_context& aContext)
  : context(&aContext)
{
}

asio::awaitable<HttpAnswer>
PlatformService::Handle(HttpRequest aRequest)
{
  HttpAnswer answer;
  if (this->HandleControl(aRequest, answer)) {
    co_return answer;
  }
  co_await this->Pause(this->answerDelay);
  while (this->outage == "hang") {
    co_await this->Pause(kHangPollInterval);
  }
  if (this->outage == "refuse") {
    co_return Answer(503, { { "error", "the platform is down" } });
  }
  // A malformed body from the link under test is answered with 400 instead of
  // ending the stand-in.
  try {
    answer = this->HandlePlatform(aRequest);
  } catch (const json::exception& error) {
    answer = Answer(400, { { "error", error.what() } });
  }
  co_return answer;
}

bool
PlatformService::HandleControl(const HttpRequest& aRequest, HttpAnswer& aAnswer)
{
  const bool isPost = aRequest.method == "POST";
  if (isPost && aRequest.target == "/faults") {
    this->SetFaults(aRequest.body);
    aAnswer = Answer(200, json::object());
    return true;
  }
  if (isPost && aRequest.target == "/hosts") {
    this->SetHost(aRequest.body);
    aAnswer = Answer(200, json::object());
    return true;
  }
  if (aRequest.target == "/counts") {
    aAnswer =
      Answer(200, { { "reads", this->reads }, { "writes", this->writes } });
    return true;
  }
  return false;
}

HttpAnswer
PlatformService::HandlePlatform(const HttpRequest& aRequest)
{
  if (aRequest.target.starts_with(kObjectsPrefix)) {
    return this->HandleObject(aRequest);
  }
  if (aRequest.target == "/hosts") {
    ++this->reads;
    return this->HostList();
  }
  return this->HandleTable(aRequest);
}

HttpAnswer
PlatformService::HandleTable(const HttpRequest& aRequest)
{
  const json body = json::parse(aRequest.body);
  if (aRequest.target == "/table/read") {
    ++this->reads;
    return Answer(200, this->table.Read(body.at("key").get<std::string>()));
  }
  if (aRequest.target == "/table/scan") {
    ++this->reads;
    return Answer(200, this->table.Scan(body.at("prefix").get<std::string>()));
  }
  if (aRequest.target != "/table/transaction") {
    return Answer(404, { { "error", "no such resource" } });
  }
  ++this->writes;
  const bool committed = this->table.Commit(body);
  if (this->answersToLose > 0) {
    --this->answersToLose;
    return Answer(504, { { "error", "the answer was lost" } });
  }
  return Answer(committed ? 200 : 409, { { "committed", committed } });
}

HttpAnswer
PlatformService::HandleObject(const HttpRequest& aRequest)
{
  const std::string name = aRequest.target.substr(kObjectsPrefix.size());
  if (aRequest.method == "PUT") {
    ++this->writes;
    this->objects[name] = aRequest.body;
    return Answer(200, json::object());
  }
  if (aRequest.method == "DELETE") {
    ++this->writes;
    this->objects.erase(name);
    return Answer(200, json::object());
  }
  ++this->reads;
  const auto found = this->objects.find(name);
  if (found == this->objects.end()) {
    return Answer(404, { { "error", "no such object" } });
  }
  HttpAnswer answer;
  answer.body = found->second;
  return answer;
}

HttpAnswer
PlatformService::HostList()
{
  const Instant now = Clock::now();
  std::erase_if(this->hostChanges, [this, now](const HostChange& aChange) {
    if (aChange.visibleAt > now) {
      return false;
    }
    this->hostStates[aChange.name] = aChange.state;
    return true;
  });
  json live = json::array();
  json leaving = json::array();
  for (const auto& [name, state] : this->hostStates) {
    if (state == "live") {
      live.push_back(name);
    } else if (state == "leaving") {
      leaving.push_back(name);
    }
  }
  return Answer(200, { { "live", live }, { "leaving", leaving } });
}

void
PlatformService::SetFaults(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  this->outage = body.value("down", this->outage);
  this->answerDelay =
    Milliseconds(body.value("slow_ms", this->answerDelay.count()));
  this->hostListDelay =
    Milliseconds(body.value("host_lag_ms", this->hostListDelay.count()));
  this->answersToLose = body.value("lose_answers", this->answersToLose);
}

void
PlatformService::SetHost(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  this->hostChanges.push_back({ Clock::now() + this->hostListDelay,
                                body.value("name", ""),
                                body.value("state", "live") });
}

asio::awaitable<void>
PlatformService::Pause(Milliseconds aTime)
{
  if (aTime.count() == 0) {
    co_return;
  }
  boost::system::error_code ignored;
  asio::steady_timer timer(*this->context, aTime);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}
