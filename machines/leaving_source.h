#pragma once

#include <cstdint>

namespace sardinecourse {

/** From where it is known that a minion is leaving; each is taken back only by
 * its own source. */
enum class LeavingSource : std::uint8_t
{
  /** The minion's own answer. */
  kMinion = 1,
  /** The platform's list of hosts. */
  kHostList = 2,
  /** An operator. */
  kOperator = 4,
  /** Another entry host saw one of the other signs. */
  kPeer = 8
};

}
