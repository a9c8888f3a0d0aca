#pragma once

#include "contracts/domain_owner.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Encodes the row that records a scheduling domain's holder. */
std::string
EncodeDomainOwner(const DomainOwner& aOwner);

/** Empty, with the reason, when the text is not a valid owner row. */
std::optional<DomainOwner>
DecodeDomainOwner(const std::string& aText, Reason& aReason);

}
