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
  // What a peer or caller sent may hold bytes that are no UTF-8.
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}
