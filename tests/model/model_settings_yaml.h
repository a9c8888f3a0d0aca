#pragma once

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;
struct ModelSettings;

/** Empty, with file and line, when the text is no model. */
std::optional<ModelSettings>
DecodeModelSettings(const std::string& aText,
                    const std::string& aFile,
                    Reason& aReason);

}
