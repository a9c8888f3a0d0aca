#pragma once

#include <cstdint>

namespace sardinecourse {

/** How far one request got on its connection; what may be said of it follows
 * from this. */
enum class ExchangeProgress : std::uint8_t
{
  /** No byte was handed to the connection: the other side certainly did not run
     it. */
  kNotSent,
  /** Some bytes may have arrived: the other side may have run it. */
  kMaybeSent,
  /** The whole answer arrived. */
  kAnswered
};

}
