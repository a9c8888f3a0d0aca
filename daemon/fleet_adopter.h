#pragma once

#include "daemon/settings_adopter.h"

#include <functional>
#include <utility>

namespace sardinecourse {

class Fleet;

/** Passes each adopted revision of the fleet's settings to a callback. */
class FleetAdopter
{
public:
  explicit FleetAdopter(std::function<void(const Fleet&)> aFunction)
    : function(std::move(aFunction))
  {
  }
  void Adopt(const Fleet& aFleet) { this->function(aFleet); }

private:
  std::function<void(const Fleet&)> function;
};

static_assert(SettingsAdopter<FleetAdopter>);

}
