#pragma once

#include "links/http_answer.h"
#include "machines/caller_refusal.h"

#include <optional>

namespace sardinecourse {

/** The answer to a request that is refused before it is handled, and so never
 * runs; empty if the connection is closed without one. */
std::optional<HttpAnswer>
RefusalAnswer(CallerRefusal aCause);

}
