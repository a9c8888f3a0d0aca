#pragma once

#include "contracts/domain_host_settings.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Whether a host's settings are those of a scheduling domain. */
bool
IsDomainHostSettings(const std::string& aText);

/** Reads the settings of a host of a scheduling domain; empty, with file, line
 * and key in the reason, when they are not valid. */
std::optional<DomainHostSettings>
DecodeDomainHostSettings(const std::string& aText,
                         const std::string& aFile,
                         Reason& aReason);

}
