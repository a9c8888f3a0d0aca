#include "codecs/json_fields.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace sardinecourse {

std::optional<nlohmann::json>
ParseJsonObject(const std::string& aText)
{
  nlohmann::json object = nlohmann::json::parse(aText, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  return object;
}

std::string
JsonText(const nlohmann::json& aValue)
{
  return aValue.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
TextField(const nlohmann::json& aObject,
          const char* aKey,
          const std::string& aDefault)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_string()
           ? found->get<std::string>()
           : aDefault;
}

std::int64_t
IntegerField(const nlohmann::json& aObject,
             const char* aKey,
             std::int64_t aDefault)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_number_integer()
           ? found->get<std::int64_t>()
           : aDefault;
}

std::int32_t
SmallIntegerField(const nlohmann::json& aObject,
                  const char* aKey,
                  std::int32_t aDefault)
{
  const std::int64_t number = IntegerField(aObject, aKey, aDefault);
  const bool fits = number >= std::numeric_limits<std::int32_t>::min() &&
                    number <= std::numeric_limits<std::int32_t>::max();
  return fits ? static_cast<std::int32_t>(number) : -1;
}

bool
BooleanField(const nlohmann::json& aObject, const char* aKey, bool aDefault)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_boolean() ? found->get<bool>()
                                                       : aDefault;
}

}
