#pragma once

#include <cstdint>

namespace sardinecourse {

/** What came of asking a host not to take over for the length of a lease. */
enum class PromiseAnswer : std::uint8_t
{
  kPromised,
  /** It answered that it does not promise. */
  kDenied,
  /** Nothing listens at its address: its process is dead. */
  kRefusedConnection,
  /** No answer, which tells nothing. */
  kSilent
};

}
