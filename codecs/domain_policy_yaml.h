#pragma once

#include "contracts/domain_policy.h"

#include <optional>

namespace sardinecourse {

class Reason;
class YamlReader;

/** Reads a scheduling domain's weights from a mapping; absent keys get their
 * defaults. Out-of-range values are recorded as errors in the reader. */
std::optional<DomainPolicy>
ReadDomainPolicy(YamlReader& aReader, Reason& aReason);

}
