#include "links/caller_protocol.h"

#include "contracts/request_builder.h"
#include "core/reason.h"
#include "links/http_request.h"
#include "links/minion_protocol.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <charconv>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::string_view kServicePrefix = "/services/";
constexpr std::string_view kTeamField = "Sardinecourse-Team";
constexpr std::string_view kIdempotentField = "Sardinecourse-Idempotent";
constexpr std::string_view kKeyField = "Idempotency-Key";
constexpr Milliseconds kDefaultDeadline{ 30'000 };
constexpr Milliseconds kMaxDeadline{ 60'000 };

constexpr std::array<std::string_view, 9> kMethods{
  "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH", "QUERY", "REPORT"
};
constexpr std::array<std::string_view, 7> kIdempotentMethods{
  "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "QUERY", "REPORT"
};
/** Fields that are not forwarded: they are meant for this host, or this host
 * sets them itself. */
constexpr std::array<std::string_view, 5> kStrippedFields{
  kRequestIdentityField,
  kDeadlineField,
  kMinionNameField,
  kOutcomeField,
  "Host"
};

template<typename List>
bool
Contains(const List& aList, std::string_view aText)
{
  return std::find(aList.begin(), aList.end(), aText) != aList.end();
}

bool
IsStrippedField(std::string_view aName)
{
  return std::any_of(kStrippedFields.begin(),
                     kStrippedFields.end(),
                     [aName](std::string_view aStripped) {
                       return boost::beast::iequals(
                         { aStripped.data(), aStripped.size() },
                         { aName.data(), aName.size() });
                     });
}

std::string_view
PathAfterPrefix(const HttpRequest& aMessage)
{
  return std::string_view(aMessage.target).substr(kServicePrefix.size());
}

std::optional<Milliseconds>
ReadTimeout(const HttpRequest& aMessage, Reason& aReason)
{
  const std::string_view text = aMessage.fields.Find(kDeadlineField);
  if (text.empty()) {
    return kDefaultDeadline;
  }
  std::int64_t milliseconds = 0;
  const auto [end, error] =
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (error != std::errc() || end != text.data() + text.size() ||
      milliseconds < 1) {
    aReason = Reason(Step::kDecode,
                     std::string(text),
                     "Sardinecourse-Deadline-Ms must be a positive whole "
                     "number of milliseconds");
    return std::nullopt;
  }
  return std::min(Milliseconds(milliseconds), kMaxDeadline);
}

std::optional<bool>
ReadIdempotent(const HttpRequest& aMessage, Reason& aReason)
{
  const std::string_view value = aMessage.fields.Find(kIdempotentField);
  if (value.empty()) {
    return Contains(kIdempotentMethods, aMessage.method);
  }
  if (value != "true" && value != "false") {
    aReason = Reason(Step::kDecode,
                     std::string(value),
                     "Sardinecourse-Idempotent must be true or false");
    return std::nullopt;
  }
  return value == "true";
}

std::string
FingerprintOf(const HttpRequest& aMessage)
{
  const boost::uuids::name_generator_sha1 generate(boost::uuids::ns::oid());
  const std::string content =
    aMessage.method + '\n' + aMessage.target + '\n' + aMessage.body;
  return boost::uuids::to_string(generate(content));
}

}

std::optional<Request>
ReadCallerRequest(const HttpRequest& aMessage,
                  std::string aIdentity,
                  Instant aNow,
                  Reason& aReason)
{
  if (!Contains(kMethods, aMessage.method)) {
    aReason =
      Reason(Step::kDecode, aMessage.method, "this method is not forwarded");
    return std::nullopt;
  }
  const std::string_view path = PathAfterPrefix(aMessage);
  const std::optional<Milliseconds> timeout = ReadTimeout(aMessage, aReason);
  const std::optional<bool> idempotent = ReadIdempotent(aMessage, aReason);
  if (!timeout || !idempotent) {
    return std::nullopt;
  }
  RequestBuilder builder;
  builder.Identity(std::move(aIdentity));
  builder.Service(
    ServiceName(std::string(path.substr(0, path.find_first_of("/?")))));
  builder.Team(TeamName(std::string(aMessage.fields.Find(kTeamField))));
  builder.Idempotent(*idempotent).Deadline(aNow + *timeout);
  const std::string_view key = aMessage.fields.Find(kKeyField);
  if (!key.empty()) {
    builder.Key(std::string(key)).Fingerprint(FingerprintOf(aMessage));
  }
  return builder.Build(aReason);
}

HttpRequest
ToMinionMessage(HttpRequest&& aMessage, const Request& aRequest)
{
  HttpRequest message;
  message.method = aMessage.method;
  message.target =
    PathAfterPrefix(aMessage).substr(aRequest.Service().Text().size());
  if (!message.target.starts_with('/')) {
    message.target.insert(0, "/");
  }
  message.body = std::move(aMessage.body);
  for (const HttpField& field : aMessage.fields) {
    if (!IsStrippedField(field.name)) {
      message.fields.Add(field.name, field.value);
    }
  }
  message.fields.Add(std::string(kRequestIdentityField), aRequest.Identity());
  return message;
}

}
