#pragma once

#include "zones/routing_choice.h"

#include <memory>

namespace sardinecourse {

class MinionState;

/** A minion at which a slot was taken, and why it was chosen. */
struct RoutedMinion
{
  std::shared_ptr<MinionState> minion;
  RoutingChoice choice = RoutingChoice::kBetterOfTwo;
};

}
