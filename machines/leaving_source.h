#pragma once

#include <cstdint>

namespace sardinecourse {

/** Sources that report a minion as leaving; only the source of a report
 * withdraws it. The values are bits of one set. */
enum class LeavingSource : std::uint8_t
{
  /** The minion's own answer. */
  kMinion = 1,
  /** The platform's list of hosts. */
  kHostList = 2,
  /** An operator. */
  kOperator = 4,
  /** Another entry host, which has a report from one of the other sources. */
  kPeer = 8
};

}
