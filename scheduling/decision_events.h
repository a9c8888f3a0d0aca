#pragma once

#include "core/instant.h"
#include "core/names.h"
#include "links/worker_orders.h"
#include "zones/pace/pace_class.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace sardinecourse {

class Reason;
class StartOrder;
class StopOrder;
enum class StartAdmission : std::uint8_t;
struct PlacedUnit;
struct PreemptedUnit;
struct GivenUpRuns;
struct KindPair;
struct PaceChange;
struct IdleJob;
struct ReportedEnd;

/** Event lines for a holder's decisions on units, for the outcomes of its
 * orders and for ended runs; aTerm is the holder's fencing token. */
void
LogPlaced(const PlacedUnit& aPlaced,
          std::int32_t aPriority,
          std::int64_t aTerm);
void
LogPreempted(const PreemptedUnit& aPreempted, std::int64_t aTerm);
void
LogGivenUp(const GivenUpRuns& aGivenUp, std::int64_t aTerm);
void
LogPaceChange(const PaceChange& aChange, std::int64_t aTerm);
void
LogDisturbance(const KindPair& aPair, std::int64_t aTerm);
/** aCounts has the number of workers of each class; aChanged of them came into
 * another class. */
void
LogPaceCounts(const std::map<PaceClass, std::int64_t>& aCounts,
              std::size_t aChanged,
              std::int64_t aTerm);
void
LogEnd(const WorkerName& aWorker, const ReportedEnd& aReported);
/** aNow is the instant from which the end of the wait is counted. */
void
LogIdleJob(const IdleJob& aIdle, Instant aNow, std::int64_t aTerm);
void
LogStart(const StartOrder& aStart,
         std::int64_t aTerm,
         OrderOutcome aOutcome,
         const Reason& aReason);
/** A placed start that is not sent because of an evacuation. */
void
LogWithheld(const StartOrder& aStart,
            std::int64_t aTerm,
            StartAdmission aAdmission);
void
LogStop(const StopOrder& aStop,
        std::int64_t aTerm,
        OrderOutcome aOutcome,
        const Reason& aReason);

}
