#pragma once

#include "contracts/logged_event.h"

#include <cstdint>
#include <string_view>

namespace sardinecourse {

class Reason;

/** Builds one structured event and writes it to the log with Emit(). */
class EventLine
{
public:
  explicit EventLine(std::string_view aEvent);

  EventLine& Field(std::string_view aName, std::string_view aValue);
  EventLine& Field(std::string_view aName, std::int64_t aValue);
  /** Adds the reason's message as the field "reason". */
  EventLine& Field(const Reason& aReason);
  void Emit();

private:
  LoggedEvent line;
};

}
