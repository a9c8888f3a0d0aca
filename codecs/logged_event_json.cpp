#include "codecs/logged_event_json.h"

#include "contracts/logged_event.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>
#include <variant>

namespace sardinecourse {

namespace {

using Json = nlohmann::ordered_json;

constexpr const char* kAt = "at_ms";
constexpr const char* kEvent = "event";

LoggedEvent::Value
DecodeValue(const Json& aValue)
{
  if (aValue.is_number_integer()) {
    return aValue.get<std::int64_t>();
  }
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

}

std::string
EncodeLoggedEvent(const LoggedEvent& aEvent)
{
  Json line = { { kAt, aEvent.at.count() }, { kEvent, aEvent.event } };
  for (const auto& [name, value] : aEvent.fields) {
    std::visit(
      [&line, &name = name](const auto& aValue) { line[name] = aValue; },
      value);
  }
  return line.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<LoggedEvent>
DecodeLoggedEvent(const std::string& aLine, Reason& aReason)
{
  const Json line = Json::parse(aLine, nullptr, false);
  const bool isEvent = line.is_object() && line.contains(kAt) &&
                       line[kAt].is_number_integer() && line.contains(kEvent) &&
                       line[kEvent].is_string();
  if (!isEvent) {
    aReason = Reason(Step::kDecode, "log", "the line is not an event");
    return std::nullopt;
  }
  LoggedEvent event;
  event.at = Milliseconds(line[kAt].get<std::int64_t>());
  event.event = line[kEvent].get<std::string>();
  for (const auto& [name, value] : line.items()) {
    if (name != kAt && name != kEvent) {
      event.fields.emplace_back(name, DecodeValue(value));
    }
  }
  return event;
}

}
