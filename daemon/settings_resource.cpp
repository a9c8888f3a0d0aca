#include "daemon/settings_resource.h"

#include "codecs/refusal.h"
#include "codecs/settings_json.h"
#include "daemon/json_answer.h"
#include "links/http_target.h"

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr std::int64_t kHistoryLength = 20;

int
StatusOf(AcceptOutcome aOutcome)
{
  switch (aOutcome) {
    case AcceptOutcome::kAccepted:
    case AcceptOutcome::kUnchanged:
      return 200;
    case AcceptOutcome::kConflict:
      return 409;
    case AcceptOutcome::kInvalid:
      return 422;
    case AcceptOutcome::kUnreachable:
      return 503;
    case AcceptOutcome::kNotKnown:
      return 504;
  }
  return 500;
}

}

asio::awaitable<HttpAnswer>
SettingsResource::Handle(HttpRequest aRequest)
{
  const HttpTarget target(aRequest.target);
  HttpAnswer answer;
  if (target.Path() == "/settings" && aRequest.method == "POST") {
    answer = co_await this->Propose(aRequest);
  } else if (target.Path() == "/settings") {
    answer = this->Show();
  } else if (target.Path() == "/settings/history") {
    answer = co_await this->History();
  } else if (target.Path() == "/settings/origin") {
    answer = this->Origin(target);
  } else {
    const Reason reason(Step::kDecode, aRequest.target, "no such resource");
    answer = JsonAnswer(404, EncodeRefusal("not-run", reason));
  }
  co_return answer;
}

asio::awaitable<HttpAnswer>
SettingsResource::Propose(const HttpRequest& aRequest)
{
  Reason reason;
  std::optional<SettingsProposal> proposal =
    DecodeSettingsProposal(aRequest.body, reason);
  if (!proposal) {
    co_return JsonAnswer(400, EncodeRefusal("not-run", reason));
  }
  const SettingsAnswer answer =
    co_await this->manager->Accept(std::move(*proposal));
  co_return JsonAnswer(StatusOf(answer.outcome), EncodeSettingsAnswer(answer));
}

asio::awaitable<HttpAnswer>
SettingsResource::History()
{
  Reason reason;
  const std::optional<std::vector<SettingsRecord>> records =
    co_await this->manager->History(kHistoryLength, reason);
  if (!records) {
    co_return JsonAnswer(503, EncodeRefusal("not-run", reason));
  }
  co_return JsonAnswer(200, EncodeSettingsHistory(*records));
}

HttpAnswer
SettingsResource::Show() const
{
  return JsonAnswer(200, EncodeSettingsText(this->manager->InForce()));
}

HttpAnswer
SettingsResource::Origin(const HttpTarget& aTarget) const
{
  const SettingsScope scope{ DataCentreName(aTarget.Query("data_centre")),
                             TeamName(aTarget.Query("team")),
                             ServiceName(aTarget.Query("service")) };
  const std::optional<Fleet>& fleet = this->manager->InForceFleet();
  if (!fleet) {
    const Reason reason(Step::kSettings, "", "no settings are in force");
    return JsonAnswer(503, EncodeRefusal("not-run", reason));
  }
  return JsonAnswer(200, EncodeSettingsOrigins(fleet->Settings(), scope));
}

}
