#pragma once

#include "zones/routing_choice.h"

#include <cstdint>
#include <memory>
#include <string>

namespace sardinecourse {

class MinionState;

/** One routing decision, with the values that its log line contains. */
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
  /** The reason of a refusal; empty for a routed request. */
  std::string refusal;
};

}
