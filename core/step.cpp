#include "core/step.h"

namespace sardinecourse {

std::string_view
StepName(Step aStep)
{
  switch (aStep) {
    case Step::kNone:
      return "none";
    case Step::kStartup:
      return "startup";
    case Step::kSettings:
      return "settings";
    case Step::kDecode:
      return "decode";
    case Step::kAdmission:
      return "admission";
    case Step::kClaim:
      return "claim";
    case Step::kRouting:
      return "routing";
    case Step::kUpstreamConnect:
      return "upstream_connect";
    case Step::kUpstreamSend:
      return "upstream_send";
    case Step::kUpstreamReceive:
      return "upstream_receive";
    case Step::kPlacement:
      return "placement";
    case Step::kReclaim:
      return "reclaim";
    case Step::kWorkerCommand:
      return "worker_command";
    case Step::kPlatformRead:
      return "platform_read";
    case Step::kPlatformWrite:
      return "platform_write";
    case Step::kLease:
      return "lease";
    case Step::kPeerLink:
      return "peer_link";
    case Step::kShutdown:
      return "shutdown";
  }
  return "unknown";
}

}
