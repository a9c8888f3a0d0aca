#include "codecs/decisions_json.h"

#include "codecs/json_fields.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

std::string
EncodeDecisions(const std::vector<std::string>& aDecisions)
{
  const nlohmann::json object = { { "decisions", aDecisions } };
  return JsonText(object);
}

std::optional<std::vector<std::string>>
DecodeDecisions(const std::string& aText, Reason& aReason)
{
  const std::optional<nlohmann::json> object = ParseJsonObject(aText);
  if (!object || !object->contains("decisions")) {
    aReason = Reason(Step::kDecode, "", "the answer has no decisions");
    return std::nullopt;
  }
  std::vector<std::string> decisions;
  for (const nlohmann::json& item : object->at("decisions")) {
    if (item.is_string()) {
      decisions.push_back(item.get<std::string>());
    }
  }
  return decisions;
}

}
