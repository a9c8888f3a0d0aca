#include "zones/callers/connection_shedding.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace sardinecourse {

namespace {

using Phase = HeldConnection::Phase;

/** A caller that has not read its answer by then is treated as stalled. Links
 * that lose packets and hosts that pause delay an answer by a few seconds. */
constexpr Milliseconds kStalledAnswerTime{ 10'000 };

/** Bytes times milliseconds, with at least one of each, so that connections of
 * the same moment compare by their bytes. */
double
WeightOf(const HeldConnection& aConnection, Instant aNow)
{
  const auto age =
    std::chrono::duration_cast<Milliseconds>(aNow - aConnection.since);
  return static_cast<double>(std::max<std::int64_t>(aConnection.bytes, 1)) *
         static_cast<double>(std::max<std::int64_t>(age.count(), 0) + 1);
}

bool
FreesMemory(const HeldConnection& aConnection)
{
  return aConnection.phase == Phase::kReceiving ||
         aConnection.phase == Phase::kAnswering;
}

bool
FreesConnection(const HeldConnection& aConnection, Instant aNow)
{
  return aConnection.phase == Phase::kIdle ||
         aConnection.phase == Phase::kReceiving ||
         (aConnection.phase == Phase::kAnswering &&
          aNow - aConnection.since >= kStalledAnswerTime);
}

/** Order in which connections are closed for new ones. */
auto
ConnectionRank(const HeldConnection& aConnection)
{
  return std::make_tuple(aConnection.phase == Phase::kAnswering,
                         aConnection.isServed,
                         aConnection.since);
}

}

std::optional<std::size_t>
ChooseToFreeMemory(const std::vector<HeldConnection>& aConnections,
                   Instant aNow)
{
  const auto found = std::max_element(
    aConnections.begin(),
    aConnections.end(),
    [aNow](const HeldConnection& aLeft, const HeldConnection& aRight) {
      return std::make_tuple(FreesMemory(aLeft), WeightOf(aLeft, aNow)) <
             std::make_tuple(FreesMemory(aRight), WeightOf(aRight, aNow));
    });
  if (found == aConnections.end() || !FreesMemory(*found)) {
    return std::nullopt;
  }
  return std::distance(aConnections.begin(), found);
}

std::optional<std::size_t>
ChooseToFreeConnection(const std::vector<HeldConnection>& aConnections,
                       Instant aNow)
{
  const auto found = std::min_element(
    aConnections.begin(),
    aConnections.end(),
    [aNow](const HeldConnection& aLeft, const HeldConnection& aRight) {
      return std::make_tuple(!FreesConnection(aLeft, aNow),
                             ConnectionRank(aLeft)) <
             std::make_tuple(!FreesConnection(aRight, aNow),
                             ConnectionRank(aRight));
    });
  if (found == aConnections.end() || !FreesConnection(*found, aNow)) {
    return std::nullopt;
  }
  return std::distance(aConnections.begin(), found);
}

}
