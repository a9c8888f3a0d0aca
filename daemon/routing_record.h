#pragma once

#include "zones/routing_choice.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sardinecourse {

class MinionState;

/** One routing decision, as the log needs it. */
struct RoutingRecord
{
  std::string request;
  std::string team;
  std::string service;
  /** Null for a refusal. */
  std::shared_ptr<const MinionState> minion;
  RoutingChoice choice = RoutingChoice::kBetterOfTwo;
  std::int32_t inFlight = 0;
  std::int32_t attempt = 0;
  /** Why it was refused. */
  std::string refusal;
};

}
