#pragma once

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
struct ModelSettings;

/** Decodes a model's YAML text. On an error it returns nullopt and aReason
 * holds the file and line. */
std::optional<ModelSettings>
DecodeModelSettings(const std::string& aText,
                    const std::string& aFile,
                    Reason& aReason);

}
