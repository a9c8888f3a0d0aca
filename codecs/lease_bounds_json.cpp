#include "codecs/lease_bounds_json.h"

#include "codecs/json_fields.h"
#include "core/reason.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

std::string
EncodeLeaseBounds(const LeaseBounds& aBounds)
{
  nlohmann::json object = nlohmann::json::object();
  for (const auto& [worker, bound] : aBounds) {
    object[worker.Text()] = { bound.untilMs, bound.term };
  }
  return JsonText(object);
}

std::optional<LeaseBounds>
DecodeLeaseBounds(const std::string& aText, Reason& aReason)
{
  const auto object = ParseJsonObject(aText);
  if (!object) {
    aReason = Reason(Step::kDecode, "", "lease bounds must be a JSON object");
    return std::nullopt;
  }
  LeaseBounds bounds;
  for (const auto& [worker, pair] : object->items()) {
    const bool isPair = pair.is_array() && pair.size() == 2;
    const auto until = isPair ? WholeNumber(pair[0]) : std::nullopt;
    const auto term = isPair ? WholeNumber(pair[1]) : std::nullopt;
    if (worker.empty() || !until || !term) {
      aReason =
        Reason(Step::kDecode, "", "a lease bound must be a time and a term");
      return std::nullopt;
    }
    bounds[WorkerName(worker)] = LeaseBound{ *until, *term };
  }
  return bounds;
}

}
