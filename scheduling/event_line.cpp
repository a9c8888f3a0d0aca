#include "scheduling/event_line.h"

#include "codecs/logged_event_json.h"
#include "core/reason.h"
#include "core/wall_time.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace sardinecourse {

EventLine::EventLine(std::string_view aEvent)
{
  this->line.at = WallNow().time_since_epoch();
  this->line.event = aEvent;
}

EventLine&
EventLine::Field(std::string_view aName, std::string_view aValue)
{
  this->line.fields.emplace_back(aName, std::string(aValue));
  return *this;
}

EventLine&
EventLine::Field(std::string_view aName, std::int64_t aValue)
{
  this->line.fields.emplace_back(aName, aValue);
  return *this;
}

EventLine&
EventLine::Field(const Reason& aReason)
{
  // A call that succeeded leaves its reason empty.
  return aReason == Reason() ? *this : this->Field("reason", aReason.Message());
}

void
EventLine::Emit()
{
  static const log4cplus::Logger logger =
    log4cplus::Logger::getInstance("event");
  LOG4CPLUS_INFO(logger, EncodeLoggedEvent(this->line));
}

}
