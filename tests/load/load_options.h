#pragma once

#include "core/endpoint.h"
#include "core/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** What one load run sends. */
struct LoadOptions
{
  std::vector<Endpoint> targets;
  std::string method = "GET";
  std::string path = "/services/fretdesk/load";
  std::size_t bodyBytes = 100;
  /** Requests a second, all threads together; zero sends each request when the
   * connection's last one was answered. */
  double rate = 0;
  double seconds = 5;
  /** Connections that start open; an open-loop run opens more as it needs them.
   */
  std::int32_t connections = 32;
  std::int32_t threads = 1;
  std::int32_t deadlineMs = 30'000;
  /** Gives each request an idempotency key of its own. */
  bool keyed = false;
  std::uint64_t seed = 1;
};

}
