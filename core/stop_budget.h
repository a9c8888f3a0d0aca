#pragma once

#include "core/instant.h"

#include <algorithm>
#include <compare>

namespace sardinecourse {

/** The time that a process has for a planned stop, and how its steps share it.
 * Every step of the stop ends by an instant of this budget. */
class StopBudget
{
public:
  StopBudget() = default;
  /** A stop that was requested at aRequested, of a process that is killed
   * aGrace later. */
  StopBudget(Instant aRequested, Milliseconds aGrace)
    : requested(aRequested)
    , length(aGrace - aGrace / kMarginShare)
  {
  }

  Instant Requested() const { return this->requested; }
  /** When the listeners close. Until then balancers send callers here, as they
   * need kBalancerTime to remove a host. */
  Instant DrainStart() const
  {
    return this->requested + std::min(kBalancerTime, this->length / 2);
  }
  /** By when a request must have arrived as a whole to be answered. */
  Instant ReadEnd() const
  {
    return std::min(this->requested + this->length * 3 / 5,
                    this->DrainStart() + kMaxReadTime);
  }
  /** By when answers must have been written. */
  Instant AnswerEnd() const { return this->End() - this->length / kEndShare; }
  /** When the process ends, also with steps that are not done. */
  Instant End() const { return this->requested + this->length; }

  Milliseconds Elapsed(Instant aNow) const
  {
    return std::chrono::duration_cast<Milliseconds>(aNow - this->requested);
  }
  /** Time until End(), not negative. */
  Milliseconds TimeLeft(Instant aNow) const
  {
    return std::max(Milliseconds(0),
                    std::chrono::ceil<Milliseconds>(this->End() - aNow));
  }

  auto operator<=>(const StopBudget&) const = default;

private:
  /** The balancer probes every second and removes a host after two failed
   * probes. */
  static constexpr Milliseconds kBalancerTime{ 2200 };
  static constexpr Milliseconds kMaxReadTime{ 5000 };
  /** Part of the grace time that is left for a late signal and the exit. */
  static constexpr int kMarginShare = 8;
  /** Part of the budget that is left for the end of the threads. */
  static constexpr int kEndShare = 20;

  Instant requested{};
  Milliseconds length{ 0 };
};

}
