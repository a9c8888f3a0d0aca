#include "codecs/json_fields.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace sardinecourse {

namespace {

using Limits = std::numeric_limits<std::int64_t>;

constexpr double kTwoToThe63 = 9223372036854775808.0;

/** The number in 32 bits, or -1 when it does not fit. */
std::int32_t
Narrowed(std::int64_t aNumber)
{
  const bool fits = aNumber >= std::numeric_limits<std::int32_t>::min() &&
                    aNumber <= std::numeric_limits<std::int32_t>::max();
  return fits ? static_cast<std::int32_t>(aNumber) : -1;
}

}

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

std::optional<std::int64_t>
WholeNumber(const nlohmann::json& aValue)
{
  if (aValue.is_number_unsigned()) {
    const auto number = aValue.get<std::uint64_t>();
    return number <= static_cast<std::uint64_t>(Limits::max())
             ? std::optional(static_cast<std::int64_t>(number))
             : std::nullopt;
  }
  if (aValue.is_number_integer()) {
    return aValue.get<std::int64_t>();
  }
  if (aValue.is_number_float()) {
    const auto number = aValue.get<double>();
    // Both limits are exact as a double; not-a-number compares false.
    const bool fits = number >= -kTwoToThe63 && number < kTwoToThe63;
    return fits ? std::optional(static_cast<std::int64_t>(number))
                : std::nullopt;
  }
  return std::nullopt;
}

std::int32_t
SmallInteger(const nlohmann::json& aValue)
{
  const auto number =
    aValue.is_number_integer() ? WholeNumber(aValue) : std::nullopt;
  return Narrowed(number.value_or(-1));
}

std::int64_t
IntegerField(const nlohmann::json& aObject,
             const char* aKey,
             std::int64_t aDefault)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end() || !found->is_number()) {
    return aDefault;
  }
  const std::optional<std::int64_t> number = WholeNumber(*found);
  if (!number) {
    // The parser reads an integer beyond 64 bits as a floating-point number.
    return found->get<double>() < 0.0 ? Limits::min() : Limits::max();
  }
  return found->is_number_integer() ? *number : aDefault;
}

std::int32_t
SmallIntegerField(const nlohmann::json& aObject,
                  const char* aKey,
                  std::int32_t aDefault)
{
  return Narrowed(IntegerField(aObject, aKey, aDefault));
}

bool
BooleanField(const nlohmann::json& aObject, const char* aKey, bool aDefault)
{
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_boolean() ? found->get<bool>()
                                                       : aDefault;
}

}
