#include "core/reason.h"

#include <utility>

namespace sardinecourse {

Reason::Reason(Step aStep, std::string aPeer, std::string aText)
  : step(aStep)
  , peer(std::move(aPeer))
  , text(std::move(aText))
{
}

std::string
Reason::Message() const
{
  std::string message(StepName(this->step));
  if (!this->peer.empty()) {
    message += ' ';
    message += this->peer;
  }
  message += ": ";
  message += this->text;
  return message;
}

}
