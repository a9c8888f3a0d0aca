#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace sardinecourse {

/** Parses JSON text; empty when it is not a JSON object. */
std::optional<nlohmann::json>
ParseJsonObject(const std::string& aText);

/** The text of a value. Bytes that are not UTF-8 are replaced, since the
 * library would throw at them. */
std::string
JsonText(const nlohmann::json& aValue);

/** A text field; the default when it is absent or of another type. */
std::string
TextField(const nlohmann::json& aObject,
          const char* aKey,
          const std::string& aDefault = "");

/** A whole number; the default when it is absent or of another type. */
std::int64_t
IntegerField(const nlohmann::json& aObject,
             const char* aKey,
             std::int64_t aDefault = 0);

/** A whole number that fits 32 bits; -1, which no field allows, when it does
 * not fit. */
std::int32_t
SmallIntegerField(const nlohmann::json& aObject,
                  const char* aKey,
                  std::int32_t aDefault = 0);

bool
BooleanField(const nlohmann::json& aObject,
             const char* aKey,
             bool aDefault = false);

}
