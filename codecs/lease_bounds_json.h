#pragma once

#include "contracts/lease_bound.h"

#include <optional>
#include <string>

namespace sardinecourse {

class Reason;

/** Encodes the bounds as the JSON text stored in their row. */
std::string
EncodeLeaseBounds(const LeaseBounds& aBounds);

/** Empty, with the reason, when the text is not a list of bounds. */
std::optional<LeaseBounds>
DecodeLeaseBounds(const std::string& aText, Reason& aReason);

}
