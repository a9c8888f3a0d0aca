#include "client.h"

namespace review {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kCallTimeoutMs = 3000;
constexpr const char* kHost = "bookings.example";

}

json
Configuration()
{
  return { { "Version", 7 },
           { "Routes",
             { { { "Name", "q1" },
                 { "Host", kHost },
                 { Wire("path_prefix"), "/one/" },
                 { "Service", "s1" },
                 { "Priority", 1 },
                 { Wire("max_attempts"), 3 },
                 { "Stretch", 50.0 },
                 { Wire("target_duration_ms"), 60000 } } } },
           { "Services", { { { "Name", "s1" } } } },
           { "Tenants",
             { { { "Name", "t1" }, { Wire("api_keys"), { "key-1" } } } } } };
}

std::string
JobId(int aNumber)
{
  std::string id = "00000000000000" + std::to_string(10 + aNumber);
  return id;
}

bool
Client::Submit(const Daemon& aDaemon,
               const std::string& aJob,
               int aWorkMs,
               int aAccelerators,
               bool aIsLasting)
{
  json body = { { "Spec", std::to_string(aWorkMs) },
                { "Steps",
                  { { { "Count", 1 },
                      { "Cpu", 1000 },
                      { "MemMb", 1024 },
                      { "Gpu", aAccelerators },
                      { Wire("estimate_ms"), aWorkMs } } } } };
  if (aIsLasting) {
    body["Steps"][0]["LongRunning"] = true;
  }
  const auto answer = Call(aDaemon.Front(),
                           "POST",
                           "/one/" + aJob,
                           Fields(),
                           body.dump(),
                           kCallTimeoutMs);
  const int status = answer ? answer->status : 0;
  this->record->Add("client submits " + aJob + " to " + aDaemon.Name() + ": " +
                    std::to_string(status));
  return status == kOk;
}

int
Client::Pending(const Daemon& aDaemon)
{
  const auto answer =
    Call(aDaemon.Front(), "GET", "/one/", Fields(), "", kCallTimeoutMs);
  const json body = answer ? json::parse(answer->body, nullptr, false) : json();
  const int pending = answer && answer->status == kOk && body.is_object()
                        ? body.value("Pending", -1)
                        : -1;
  this->record->Add("client asks " + aDaemon.Name() + " for the queue: " +
                    (answer
                       ? std::to_string(answer->status) + " " + answer->body
                       : "no answer"));
  return pending;
}

std::map<std::string, std::string>
Client::Fields()
{
  return { { "Host", kHost },
           { Wire("api_key"), "key-1" },
           { Wire("x_deadline_remaining"), "3000" } };
}

}
