#pragma once

#include "contracts/domain_policy.h"

#include <optional>

namespace sardinecourse {

class Reason;
class YamlReader;

/** Reads the weights of a mapping; those that are absent have their defaults.
 */
std::optional<DomainPolicy>
ReadDomainPolicy(YamlReader& aReader, Reason& aReason);

}
