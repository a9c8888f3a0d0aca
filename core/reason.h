#pragma once

#include "core/step.h"

#include <compare>
#include <string>

namespace sardinecourse {

/** Error description for a call that returned an empty std::optional: the step,
 * the peer involved and a message. Functions that can fail take a Reason& and
 * set it only if they fail. */
class Reason
{
public:
  Reason() = default;
  Reason(Step aStep, std::string aPeer, std::string aText);

  Step At() const { return this->step; }
  /** Name or endpoint of the peer, or the item at fault; may be empty. */
  const std::string& Peer() const { return this->peer; }
  const std::string& Text() const { return this->text; }

  /** Formats "step peer: text" for logs and answers. */
  std::string Message() const;

  auto operator<=>(const Reason&) const = default;

private:
  Step step = Step::kNone;
  std::string peer;
  std::string text;
};

}
