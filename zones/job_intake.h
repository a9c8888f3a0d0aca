#pragma once

#include "contracts/domain_usage.h"
#include "core/names.h"

#include <cstdint>

namespace sardinecourse {

class JobPlan;
class Reason;

// Bounds the memory of all accepted jobs of a domain, so that each host that
// may hold the domain can load them.

/** Max bytes of all accepted jobs. Loading them takes about five times as much,
 * which the smallest host must have. */
inline constexpr std::int64_t kMaxIntakeBytes = 16'000'000;

/** Bytes that a job takes in the holder of its domain, apart from units that
 * run or wait. */
std::int64_t
IntakeBytesOf(const JobPlan& aPlan);

/** Whether a domain with aUsage takes a job of aBytes; when false, the reason
 * is set. Jobs of priority 0 and small jobs are taken when others are not. */
bool
HasIntakeRoom(const DomainUsage& aUsage,
              const TeamName& aTeam,
              std::int32_t aPriority,
              std::int64_t aBytes,
              Reason& aReason);

/** The usage that hosts need for their decisions: empty while there is ample
 * room, and otherwise in coarse steps, so that it changes seldom. */
DomainUsage
PublishedUsage(const DomainUsage& aUsage);

}
