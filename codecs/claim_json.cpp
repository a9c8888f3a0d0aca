#include "codecs/claim_json.h"

#include "contracts/claim_builder.h"
#include "contracts/request.h"
#include "core/reason.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <nlohmann/json.hpp>

namespace sardinecourse {

namespace {

constexpr std::array<std::string_view, 3> kStates{ "claimed",
                                                   "done",
                                                   "not-known" };

std::string
ToHex(const std::string& aBytes)
{
  std::string text;
  boost::algorithm::hex_lower(
    aBytes.begin(), aBytes.end(), std::back_inserter(text));
  return text;
}

std::optional<std::string>
FromHex(const std::string& aText)
{
  // The library reports errors only by exceptions, which are caught here.
  try {
    std::string bytes;
    boost::algorithm::unhex(
      aText.begin(), aText.end(), std::back_inserter(bytes));
    return bytes;
  } catch (const boost::algorithm::hex_decode_error&) {
    return std::nullopt;
  }
}

std::string
TextAt(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : std::string();
}

}

std::string
ClaimRowKey(const Request& aRequest)
{
  return "request/" + aRequest.Team().Text() + "/" + aRequest.Key();
}

std::string
EncodeClaim(const Claim& aClaim)
{
  const nlohmann::json row = {
    { "state", kStates.at(static_cast<std::size_t>(aClaim.State())) },
    { "owner", aClaim.Owner() },
    { "fingerprint", aClaim.Fingerprint() },
    { "status", aClaim.Status() },
    { "content_type", aClaim.ContentType() },
    { "body_hex", ToHex(aClaim.Body()) }
  };
  return row.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<Claim>
DecodeClaim(const std::string& aText, Reason& aReason)
{
  const nlohmann::json row = nlohmann::json::parse(aText, nullptr, false);
  const std::string state = row.is_object() ? TextAt(row, "state") : "";
  const auto* const stateName =
    std::find(kStates.begin(), kStates.end(), state);
  const auto body = row.is_object() ? FromHex(TextAt(row, "body_hex"))
                                    : std::optional<std::string>();
  if (stateName == kStates.end() || !body) {
    aReason = Reason(Step::kDecode, "", "the row is not a valid claim");
    return std::nullopt;
  }
  const auto status = row.find("status");
  const bool hasStatus = status != row.end() && status->is_number_integer();
  ClaimBuilder builder;
  builder.State(static_cast<ClaimState>(stateName - kStates.begin()));
  builder.Owner(TextAt(row, "owner")).Fingerprint(TextAt(row, "fingerprint"));
  builder.Answer(hasStatus ? status->get<std::int32_t>() : 0,
                 TextAt(row, "content_type"),
                 *body);
  return builder.Build(aReason);
}

}
