#pragma once

#include <cstdint>

namespace sardinecourse {

/** Outcome of asking a host for a promise not to take over for the length of a
 * lease. */
enum class PromiseAnswer : std::uint8_t
{
  kPromised,
  /** The host answered that it does not promise. */
  kDenied,
  /** The connection was refused: no process listens there, so the host's daemon
   * has exited. */
  kRefusedConnection,
  /** No answer; the host may or may not be running. */
  kNoAnswer
};

}
