#pragma once

#include "machines/caller_limits.h"

#include <optional>

namespace sardinecourse {

class Reason;

/** Builds a CallerLimits. Build() returns nullopt and sets aReason if a limit
 * is not positive, or if the memory has no room for the largest request while
 * it is handled. */
class CallerLimitsBuilder
{
public:
  CallerLimitsBuilder& MemoryBytes(std::int64_t aMemoryBytes);
  CallerLimitsBuilder& Connections(std::int64_t aConnections);
  CallerLimitsBuilder& HeaderBytes(std::int64_t aHeaderBytes);
  CallerLimitsBuilder& HeaderFields(std::int64_t aHeaderFields);
  CallerLimitsBuilder& BodyBytes(std::int64_t aBodyBytes);
  CallerLimitsBuilder& IdleTime(Milliseconds aIdleTime);
  CallerLimitsBuilder& RequestTime(Milliseconds aRequestTime);
  CallerLimitsBuilder& AnswerTime(Milliseconds aAnswerTime);
  std::optional<CallerLimits> Build(Reason& aReason) const;

private:
  CallerLimits value;
};

}
