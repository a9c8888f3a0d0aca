#include "machines/caller_limits_builder.h"

#include "core/reason.h"

namespace sardinecourse {

namespace {

/** A handled request is held in up to four forms: as received, decoded, encoded
 * for another process, and in that process's message. */
constexpr std::int64_t kFormsOfRequest = 4;

}

CallerLimitsBuilder&
CallerLimitsBuilder::MemoryBytes(std::int64_t aMemoryBytes)
{
  this->value.memoryBytes = aMemoryBytes;
  return *this;
}

CallerLimitsBuilder&
CallerLimitsBuilder::Connections(std::int64_t aConnections)
{
  this->value.connections = aConnections;
  return *this;
}

CallerLimitsBuilder&
CallerLimitsBuilder::HeaderBytes(std::int64_t aHeaderBytes)
{
  this->value.headerBytes = aHeaderBytes;
  return *this;
}

CallerLimitsBuilder&
CallerLimitsBuilder::HeaderFields(std::int64_t aHeaderFields)
{
  this->value.headerFields = aHeaderFields;
  return *this;
}

CallerLimitsBuilder&
CallerLimitsBuilder::BodyBytes(std::int64_t aBodyBytes)
{
  this->value.bodyBytes = aBodyBytes;
  return *this;
}

CallerLimitsBuilder&
CallerLimitsBuilder::IdleTime(Milliseconds aIdleTime)
{
  this->value.idleTime = aIdleTime;
  return *this;
}

CallerLimitsBuilder&
CallerLimitsBuilder::RequestTime(Milliseconds aRequestTime)
{
  this->value.requestTime = aRequestTime;
  return *this;
}

CallerLimitsBuilder&
CallerLimitsBuilder::AnswerTime(Milliseconds aAnswerTime)
{
  this->value.answerTime = aAnswerTime;
  return *this;
}

std::optional<CallerLimits>
CallerLimitsBuilder::Build(Reason& aReason) const
{
  const CallerLimits& limits = this->value;
  if (limits.connections < 1 || limits.headerBytes < 1 ||
      limits.headerFields < 1 || limits.bodyBytes < 1 ||
      limits.idleTime <= Milliseconds(0) ||
      limits.requestTime <= Milliseconds(0) ||
      limits.answerTime <= Milliseconds(0)) {
    aReason = Reason(Step::kSettings, "", "callers' limits must be positive");
    return std::nullopt;
  }
  if (limits.memoryBytes <
      kFormsOfRequest * (limits.headerBytes + limits.bodyBytes)) {
    aReason = Reason(Step::kSettings,
                     "",
                     "the callers' memory must be at least four times the "
                     "largest header and body together");
    return std::nullopt;
  }
  return limits;
}

}
