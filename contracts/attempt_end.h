#pragma once

#include <cstdint>

namespace sardinecourse {

/** How one attempt to have a minion run a request ended. */
enum class AttemptEnd : std::uint8_t
{
  /** No byte was handed to a connection: the minion certainly did not run it.
   */
  kNotSent,
  /** The minion answered that it did not run it. */
  kRefused,
  /** Some bytes may have arrived and no whole answer did. */
  kMaybeSent,
  /** The whole answer to this request arrived. */
  kAnswered
};

}
