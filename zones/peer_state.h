#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** State of another entry host, as this host can determine it. */
enum class PeerState : std::uint8_t
{
  /** No message received since this host started; the peer may be serving. */
  kUnknown,
  kLive,
  /** Not connected, or no recent message, but one before: failed, paused or cut
   * off. */
  kSuspected,
  /** It announced its planned stop, or was unresponsive for long. */
  kGone
};

/** Name of a state in logs and answers. */
std::string_view
PeerStateName(PeerState aState);

}
