#include "tests/harness/request_callers.h"

#include "tests/harness/http_client.h"
#include "tests/harness/request_fleet.h"
#include "tests/harness/test_folder.h"

#include <memory>
#include <random>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kAnswerMargin{ 3000 };
constexpr int kMaxSendsPerKey = 4;

HttpRequest
MakeRequest(const std::string& aKind,
            const std::string& aBody,
            Milliseconds aDeadline)
{
  HttpRequest request;
  request.method = aKind == "put" ? "PUT" : "POST";
  request.target = "/services/fretdesk/work";
  request.body = aBody;
  request.fields.Add("Sardinecourse-Team", "blue");
  request.fields.Add("Sardinecourse-Deadline-Ms",
                     std::to_string(aDeadline.count()));
  if (aKind == "keyed") {
    request.fields.Add("Idempotency-Key", "key-" + aBody);
  }
  return request;
}

/** A caller with one connection to each daemon. */
class Caller
{
public:
  Caller(RequestFleet& aFleet,
         History& aHistory,
         CallerMix aMix,
         std::size_t aNumber)
    : history(&aHistory)
    , mix(aMix)
    , number(aNumber)
    , random(Seed() + aNumber)
  {
    for (std::size_t host = 0; host < aFleet.Hosts(); ++host) {
      this->addresses.push_back(aFleet.Callers(host));
      this->clients.push_back(
        std::make_unique<HttpClient>(this->addresses.back()));
    }
  }

  void SendNext()
  {
    const std::string body =
      "c" + std::to_string(this->number) + "-" + std::to_string(this->sent++);
    const bool isPut = this->random() % 10 < this->mix.idempotentOfTen;
    const std::string kind = isPut ? "put" : this->mix.keyed ? "keyed" : "post";
    const int sends = kind == "keyed" ? kMaxSendsPerKey : 1;
    for (int send = 0; send < sends; ++send) {
      if (this->Send(kind, body) == "done") {
        return;
      }
    }
  }

private:
  std::string Send(const std::string& aKind, const std::string& aBody)
  {
    const std::size_t host =
      this->mix.onlyHost.value_or(this->random() % this->clients.size());
    if (this->mix.reconnect) {
      this->clients[host] = std::make_unique<HttpClient>(this->addresses[host]);
    }
    HttpClient& client = *this->clients[host];
    const std::size_t call = this->history->Call(
      static_cast<std::int32_t>(this->number), aKind, aBody, "");
    const auto answer =
      client.Call(MakeRequest(aKind, aBody, this->mix.deadline),
                  this->mix.deadline + kAnswerMargin);
    std::string outcome = "no-answer";
    if (answer) {
      outcome = answer->fields.Find("Sardinecourse-Outcome");
    } else if (client.Progress() == ExchangeProgress::kNotSent) {
      outcome = "not-connected";
    }
    const std::string output =
      answer ? std::to_string(answer->status) + " " + answer->body
             : client.LastReason().Message();
    this->history->Return(call, outcome, output);
    return outcome;
  }

  History* history;
  CallerMix mix;
  std::size_t number;
  std::mt19937 random;
  std::vector<Endpoint> addresses;
  std::vector<std::unique_ptr<HttpClient>> clients;
  std::uint64_t sent = 0;
};

}

RequestCallers::RequestCallers(RequestFleet& aFleet,
                               History& aHistory,
                               CallerMix aMix)
  : fleet(&aFleet)
  , history(&aHistory)
  , mix(aMix)
{
  for (std::size_t caller = 0; caller < aMix.callers; ++caller) {
    this->threads.emplace_back([this, caller] { this->Run(caller); });
  }
}

RequestCallers::~RequestCallers()
{
  this->Stop();
}

void
RequestCallers::Stop()
{
  this->isStopping = true;
  for (std::thread& thread : this->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
RequestCallers::Run(std::size_t aCaller)
{
  Caller caller(*this->fleet, *this->history, this->mix, aCaller);
  while (!this->isStopping) {
    caller.SendNext();
  }
}

}
