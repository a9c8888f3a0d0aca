#pragma once

#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** What this host can tell of another one. */
enum class PeerState : std::uint8_t
{
  /** Never heard of since this host started; it may well serve. */
  kUnknown,
  kLive,
  /** Heard of before, but not lately: dead, paused or cut off. */
  kSuspected,
  /** It announced its planned stop, or was silent for long. */
  kGone
};

/** Name of a state in logs and answers. */
std::string_view
PeerStateName(PeerState aState);

}
