#pragma once

#include <cstdint>

namespace sardinecourse {

class CallerLimits;

/** Memory that a host charges for a request of aBytes while it is handled: it
 * is held in several forms, and the system may hold bytes of the next one. */
std::int64_t
HandledRequestBytes(std::int64_t aBytes);

/**
 * True if callers of one server may hold aBytes more. aLimits are those of the
 * process, of which callers hold aHeldByAll; aShare are those of the server, of
 * which its own callers hold aHeldByServer. A server may always use its share,
 * so that callers of one address cannot exclude those of another.
 */
bool
HasRoomFor(std::int64_t aBytes,
           const CallerLimits& aLimits,
           std::int64_t aHeldByAll,
           const CallerLimits& aShare,
           std::int64_t aHeldByServer);

/** As HasRoomFor(), for a request that is going to be handled. Large requests
 * leave room for small ones. */
bool
AdmitsRequest(std::int64_t aBytes,
              const CallerLimits& aLimits,
              std::int64_t aHeldByAll,
              const CallerLimits& aShare,
              std::int64_t aHeldByServer);

}
