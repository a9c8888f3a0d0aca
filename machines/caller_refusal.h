#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** Why a caller's request was refused unread or its connection closed. */
enum class CallerRefusal : std::uint8_t
{
  /** The header, the trailers or a chunk's header exceed their limit. */
  kHeaderTooLarge,
  kBodyTooLarge,
  /** The bytes are not an HTTP request. */
  kMalformed,
  /** The request did not arrive whole in time. */
  kRequestTooSlow,
  /** The answer was not read in time. */
  kAnswerTooSlow,
  /** Another request needed the memory, or there was none for this one. */
  kMemory,
  /** A new connection needed the place of this one. */
  kConnections,
  /** The process could not accept a connection, for want of a descriptor. */
  kDescriptors
};

/** Names of the causes in metrics and log events, in the order above. */
inline constexpr std::array<std::string_view, 8> kCallerRefusalNames{
  "header",      "body",   "malformed",   "slow_request",
  "slow_answer", "memory", "connections", "descriptors"
};

inline constexpr std::size_t kCallerRefusals = kCallerRefusalNames.size();

}
