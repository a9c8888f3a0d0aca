#pragma once

#include "contracts/domain_host_settings.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** True when the settings are those of a scheduling domain's host, which name
 * its store; false also when the text is not YAML. */
bool
IsDomainHostSettings(const std::string& aText);

/** Decodes the settings of a scheduling domain's host; empty, with file, line
 * and key in the reason, when they are invalid. */
std::optional<DomainHostSettings>
DecodeDomainHostSettings(const std::string& aText,
                         const std::string& aFile,
                         Reason& aReason);

}
