#pragma once

#include "contracts/attempt_end.h"

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Combined outcome of the attempts of a request so far. */
class RequestProgress
{
public:
  std::int32_t Attempts() const { return this->attempts; }
  /** True once a minion may have run the request. */
  bool MayHaveRun() const { return this->mayHaveRun; }
  /** True once the whole answer arrived. */
  bool Answered() const { return this->answered; }

  /** The progress after one more attempt that ended with aEnd. */
  RequestProgress After(AttemptEnd aEnd) const
  {
    RequestProgress next = *this;
    ++next.attempts;
    next.answered = next.answered || aEnd == AttemptEnd::kAnswered;
    next.mayHaveRun = next.mayHaveRun || aEnd == AttemptEnd::kAnswered ||
                      aEnd == AttemptEnd::kMaybeSent;
    return next;
  }

  auto operator<=>(const RequestProgress&) const = default;

private:
  std::int32_t attempts = 0;
  bool mayHaveRun = false;
  bool answered = false;
};

}
