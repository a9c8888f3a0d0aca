#include "codecs/domain_usage_json.h"

#include "codecs/json_fields.h"
#include "contracts/domain_usage_builder.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace sardinecourse {

std::string
EncodeDomainUsage(const DomainUsage& aUsage)
{
  nlohmann::json teams = nlohmann::json::object();
  for (const auto& [team, bytes] : aUsage.Teams()) {
    teams[team.Text()] = bytes;
  }
  return JsonText({ { "bytes", aUsage.Bytes() }, { "teams", teams } });
}

std::optional<DomainUsage>
DecodeDomainUsage(const std::string& aText, Reason& aReason)
{
  const auto object = ParseJsonObject(aText);
  const auto teamField =
    object ? object->find("teams") : decltype(object->end()){};
  if (!object || teamField == object->end() || !teamField->is_object()) {
    aReason = Reason(
      Step::kDecode, "", "a domain's usage must be a JSON object with teams");
    return std::nullopt;
  }
  std::map<TeamName, std::int64_t> teams;
  for (const auto& team : teamField->items()) {
    teams[TeamName(team.key())] = IntegerField(*teamField, team.key().c_str());
  }
  return DomainUsageBuilder()
    .Bytes(IntegerField(*object, "bytes"))
    .Teams(std::move(teams))
    .Build(aReason);
}

}
