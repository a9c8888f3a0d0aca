#include "zones/callers/caller_admission.h"

#include "machines/caller_limits.h"

namespace sardinecourse {

namespace {

/** As received, decoded, encoded for another process, and in its message. */
constexpr std::int64_t kFormsOfRequest = 4;
/** What a suspended handler takes, with a connection to another process and the
 * answer that arrives there, such as a row of the store. */
constexpr std::int64_t kHandlerBytes = 64 << 10;
/** What the system may hold of bytes behind the request. */
constexpr std::int64_t kUnreadBytes = 32 << 10;
/** A request of at least this part of the memory is large. */
constexpr std::int64_t kLargeShare = 64;
/** Part of the memory that large requests leave to small ones. */
constexpr std::int64_t kReservedShare = 4;

}

std::int64_t
HandledRequestBytes(std::int64_t aBytes)
{
  return kFormsOfRequest * aBytes + kHandlerBytes + kUnreadBytes;
}

bool
HasRoomFor(std::int64_t aBytes,
           const CallerLimits& aLimits,
           std::int64_t aHeldByAll,
           const CallerLimits& aShare,
           std::int64_t aHeldByServer)
{
  return aHeldByAll + aBytes <= aLimits.MemoryBytes() ||
         aHeldByServer + aBytes <= aShare.MemoryBytes();
}

bool
AdmitsRequest(std::int64_t aBytes,
              const CallerLimits& aLimits,
              std::int64_t aHeldByAll,
              const CallerLimits& aShare,
              std::int64_t aHeldByServer)
{
  const bool isLarge = aBytes >= aLimits.MemoryBytes() / kLargeShare;
  // One large request is admitted whatever its share.
  const std::int64_t reserved =
    isLarge && aHeldByAll >= aLimits.MemoryBytes() / kReservedShare
      ? aLimits.MemoryBytes() / kReservedShare
      : 0;
  return HasRoomFor(
    aBytes + reserved, aLimits, aHeldByAll, aShare, aHeldByServer);
}

}
