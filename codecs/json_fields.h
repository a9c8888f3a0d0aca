#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

namespace sardinecourse {

/** Parses JSON text; empty when it is not a JSON object. */
std::optional<nlohmann::json>
ParseJsonObject(const std::string& aText);

/** Serializes a value without whitespace. Bytes that are not UTF-8 are
 * replaced, since the library would throw an exception for them. */
std::string
JsonText(const nlohmann::json& aValue);

/** Value of a string field; the default when it is absent or of another type.
 */
std::string
TextField(const nlohmann::json& aObject,
          const char* aKey,
          const std::string& aDefault = "");

/** The whole part of a number; empty when the value is no number or does not
 * fit 64 bits. */
std::optional<std::int64_t>
WholeNumber(const nlohmann::json& aValue);

/** An integer that must fit 32 bits; -1, which no list of indexes allows, for
 * any other value. */
std::int32_t
SmallInteger(const nlohmann::json& aValue);

/** Value of an integer field; the default when it is absent or of another type,
 * and the nearest limit of the type for a number that does not fit 64 bits. */
std::int64_t
IntegerField(const nlohmann::json& aObject,
             const char* aKey,
             std::int64_t aDefault = 0);

/** Value of an integer field that must fit 32 bits; -1, which no field allows,
 * when it does not fit. */
std::int32_t
SmallIntegerField(const nlohmann::json& aObject,
                  const char* aKey,
                  std::int32_t aDefault = 0);

/** Value of a Boolean field; the default when it is absent or of another type.
 */
bool
BooleanField(const nlohmann::json& aObject,
             const char* aKey,
             bool aDefault = false);

}
