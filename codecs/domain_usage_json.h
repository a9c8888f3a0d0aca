#pragma once

#include "contracts/domain_usage.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

std::string
EncodeDomainUsage(const DomainUsage& aUsage);

/** Empty, with the reason, when the text is no usage. */
std::optional<DomainUsage>
DecodeDomainUsage(const std::string& aText, Reason& aReason);

}
