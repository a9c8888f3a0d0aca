#include "links/minion_protocol.h"

#include "links/http_answer.h"
#include "links/http_request.h"
#include "machines/minion.h"

#include <utility>

namespace sardinecourse {

namespace {

constexpr int kMisdirected = 421;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

}

bool
IsRefusal(const HttpAnswer& aAnswer)
{
  if (aAnswer.status == kMisdirected) {
    return true;
  }
  const bool isBusy =
    aAnswer.status == kUnavailable || aAnswer.status == kTooManyRequests;
  return isBusy && aAnswer.fields.Find(kOutcomeField) == "not-run";
}

bool
IndicatesLeaving(const HttpAnswer& aAnswer)
{
  return aAnswer.fields.Find(kMinionLeavingField) == "true";
}

bool
IsMismatched(const HttpAnswer& aAnswer,
             const Minion& aMinion,
             std::string_view aIdentity)
{
  const std::string_view identity = aAnswer.fields.Find(kRequestIdentityField);
  const std::string_view minion = aAnswer.fields.Find(kMinionNameField);
  return (!identity.empty() && identity != aIdentity) ||
         (!minion.empty() && minion != aMinion.Name().Text());
}

bool
HasRequestIdentity(const HttpAnswer& aAnswer)
{
  return aAnswer.fields.Has(kRequestIdentityField);
}

HttpRequest
MakeProbe(const Minion& aMinion, std::string aIdentity)
{
  HttpRequest probe;
  probe.method = "GET";
  probe.target = "/healthz";
  probe.fields.Add(std::string(kMinionNameField), aMinion.Name().Text());
  probe.fields.Add(std::string(kRequestIdentityField), std::move(aIdentity));
  return probe;
}

}
