#pragma once

#include "core/instant.h"
#include "tests/harness/history.h"

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace sardinecourse::harness {

class RequestFleet;

/** What the callers of a run send. */
struct CallerMix
{
  std::size_t callers = 8;
  /** Of ten requests, so many are idempotent; the others are POSTs. */
  unsigned idempotentOfTen = 5;
  /** Gives each POST a key, and uses it again after each outcome that is not
   * "done", through another daemon. */
  bool keyed = false;
  Milliseconds deadline{ 2000 };
  /** Sends to this daemon alone. */
  std::optional<std::size_t> onlyHost;
  /** Connects anew for each request. */
  bool reconnect = false;
};

/**
 * Callers in threads of their own, each sending requests with a body of their
 * own through any daemon, and recording call and return. Kinds are "put",
 * "post" and "keyed"; the subject is the body; the outcome is what the daemon
 * said, "no-answer" if no whole answer came, or "not-connected".
 */
class RequestCallers
{
public:
  RequestCallers(RequestFleet& aFleet, History& aHistory, CallerMix aMix);
  ~RequestCallers();
  RequestCallers(const RequestCallers&) = delete;
  RequestCallers& operator=(const RequestCallers&) = delete;

  /** Ends after the requests under way were answered. */
  void Stop();

private:
  void Run(std::size_t aCaller);

  RequestFleet* fleet;
  History* history;
  CallerMix mix;
  std::atomic<bool> isStopping = false;
  std::vector<std::thread> threads;
};

}
