#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** The step of a request, a job or a change of settings at which an error
 * arose. */
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

/** Name of a step as it appears in logs and answers, for example
 * "upstream_connect". */
std::string_view
StepName(Step aStep);

}
