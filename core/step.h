#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Processing step of a request, a job or a settings change at which an error
 * occurred. */
enum class Step : std::uint8_t
{
  kNone,
  kStartup,
  kSettings,
  kDecode,
  kAdmission,
  kClaim,
  kRouting,
  kUpstreamConnect,
  kUpstreamSend,
  kUpstreamReceive,
  kPlacement,
  kReclaim,
  kWorkerCommand,
  kPlatformRead,
  kPlatformWrite,
  kLease,
  kPeerLink,
  kShutdown
};

/** Name of a step in logs and answers, for example "upstream_connect". */
std::string_view
StepName(Step aStep);

}
