#pragma once

#include "core/step.h"

#include <compare>
#include <string>

namespace sardinecourse {

/**
 * Why the last call returned an empty std::optional: the step, the peer at
 * which it arose, and a message. Functions that can fail take a Reason& and set
 * it only when they fail.
 */
class Reason
{
public:
  Reason() = default;
  Reason(Step aStep, std::string aPeer, std::string aText);

  Step At() const { return this->step; }
  /** Name or endpoint of the other side; empty when no other side took part. */
  const std::string& Peer() const { return this->peer; }
  const std::string& Text() const { return this->text; }

  /** "step peer: text", for logs and answers. */
  std::string Message() const;

  auto operator<=>(const Reason&) const = default;

private:
  Step step = Step::kNone;
  std::string peer;
  std::string text;
};

}
