#pragma once

#include <cstdint>

namespace sardinecourse {

/** How one attempt to run a request on a minion ended. */
enum class AttemptEnd : std::uint8_t
{
  /** No byte was written to a connection, so the minion did not run the
   * request. */
  kNotSent,
  /** The minion answered that it did not run the request. */
  kRefused,
  /** Some bytes may have arrived, but no complete answer was received. */
  kMaybeSent,
  /** The complete answer to this request was received. */
  kAnswered
};

}
