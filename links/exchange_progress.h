#pragma once

#include <cstdint>

namespace sardinecourse {

/** How far one request got on its connection; determines whether the other side
 * may have run it. */
enum class ExchangeProgress : std::uint8_t
{
  /** No byte was handed to the connection: the other side certainly did not run
     it. */
  kNotSent,
  /** Some bytes may have arrived: the other side may have run it. */
  kMaybeSent,
  /** The complete answer arrived. */
  kAnswered
};

}
