#pragma once

#include "core/endpoint.h"
#include "core/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinecourse {

/** Parameters of one load run. */
struct LoadOptions
{
  std::vector<Endpoint> targets;
  std::string method = "GET";
  std::string path = "/services/fretdesk/load";
  std::size_t bodyBytes = 100;
  /** Requests per second of all threads together. Zero runs a closed loop: each
   * connection sends its next request after the answer to the last. */
  double rate = 0;
  double seconds = 5;
  /** Connections of each thread in a closed loop. An open-loop run opens as
   * many as it needs. */
  std::int32_t connections = 32;
  std::int32_t threads = 1;
  std::int32_t deadlineMs = 30'000;
  /** Sends each request with an idempotency key of its own. */
  bool keyed = false;
  std::uint64_t seed = 1;
};

}
