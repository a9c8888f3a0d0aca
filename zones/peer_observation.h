#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <cstdint>
#include <optional>

namespace sardinecourse {

/** What the links know of one peer, before any judgement. */
struct PeerObservation
{
  HostName host;
  DataCentreName dataCentre;
  bool connected = false;
  /** It announced its planned stop and was not started again since. */
  bool left = false;
  /** When its last message arrived, on whichever connection. */
  std::optional<Instant> lastReceived;
  /** Revision of the settings that it named last; 0 before that. */
  std::int64_t revision = 0;

  auto operator<=>(const PeerObservation&) const = default;
};

}
