#pragma once

#include "contracts/domain_backlog.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Encodes a backlog as the JSON text stored in its row. */
std::string
EncodeDomainBacklog(const DomainBacklog& aBacklog);

/** Decodes a stored backlog; empty, with the reason, when the text is not one.
 */
std::optional<DomainBacklog>
DecodeDomainBacklog(const std::string& aText, Reason& aReason);

}
