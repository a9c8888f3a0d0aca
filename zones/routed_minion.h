#pragma once

#include "zones/routing_choice.h"

#include <memory>

namespace sardinecourse {

class MinionSlot;

/** A minion on which a slot was taken, and why it was chosen. */
struct RoutedMinion
{
  std::shared_ptr<MinionSlot> slot;
  RoutingChoice choice = RoutingChoice::kBetterOfTwo;
};

}
