#include "codecs/domain_backlog_json.h"

#include "codecs/json_fields.h"
#include "contracts/domain_backlog_builder.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sardinecourse {

std::string
EncodeDomainBacklog(const DomainBacklog& aBacklog)
{
  nlohmann::json waits = nlohmann::json::array();
  for (const auto& [key, wait] : aBacklog.All()) {
    waits.push_back({ { "service", key.first.Text() },
                      { "priority", key.second },
                      { "wait_ms", wait.count() } });
  }
  return JsonText(
    { { "number", aBacklog.Number() }, { "waits", std::move(waits) } });
}

std::optional<DomainBacklog>
DecodeDomainBacklog(const std::string& aText, Reason& aReason)
{
  const auto object = ParseJsonObject(aText);
  const auto list = object ? object->find("waits") : decltype(object->end()){};
  if (!object || list == object->end() || !list->is_array()) {
    aReason =
      Reason(Step::kDecode, "", "a backlog must be a JSON object with waits");
    return std::nullopt;
  }
  DomainBacklog::Waits waits;
  for (const nlohmann::json& wait : *list) {
    if (wait.is_object()) {
      waits[{ ServiceName(TextField(wait, "service")),
              SmallIntegerField(wait, "priority") }] =
        Milliseconds(IntegerField(wait, "wait_ms"));
    }
  }
  return DomainBacklogBuilder()
    .Waits(std::move(waits))
    .Number(IntegerField(*object, "number"))
    .Build(aReason);
}

}
