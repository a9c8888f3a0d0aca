#include "codecs/refusal.h"

#include "core/reason.h"

#include <nlohmann/json.hpp>

namespace sardinecourse {

std::string
EncodeRefusal(const std::string& aOutcome, const Reason& aReason)
{
  const nlohmann::json body = { { "outcome", aOutcome },
                                { "step", StepName(aReason.At()) },
                                { "peer", aReason.Peer() },
                                { "reason", aReason.Text() } };
  // Text that a peer or caller sent may contain bytes that are not UTF-8, for
  // which the library would otherwise throw.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
