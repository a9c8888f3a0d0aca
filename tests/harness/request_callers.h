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

/** Number of callers and the mix of requests that they send. */
struct CallerMix
{
  std::size_t callers = 8;
  /** Average number of idempotent requests (PUT) in ten; the others are POST.
   */
  unsigned idempotentOfTen = 5;
  /** Adds an idempotency key to each POST and repeats it with the same key, up
   * to 4 times in all and each time through a daemon chosen at random, until
   * the outcome is "done". */
  bool keyed = false;
  Milliseconds deadline{ 2000 };
  /** Sends to this daemon only; otherwise to one at random. */
  std::optional<std::size_t> onlyHost;
  /** Opens a new connection for each request. */
  bool reconnect = false;
};

/**
 * Runs each caller in its own thread. A caller sends requests with unique
 * bodies and records call and return in the history. Kinds are "put", "post"
 * and "keyed"; the subject is the body; the outcome is the one in the daemon's
 * answer, "no-answer" without a complete answer, or "not-connected" if the
 * request was not sent.
 */
class RequestCallers
{
public:
  RequestCallers(RequestFleet& aFleet, History& aHistory, CallerMix aMix);
  ~RequestCallers();
  RequestCallers(const RequestCallers&) = delete;
  RequestCallers& operator=(const RequestCallers&) = delete;

  /** Stops the callers after their current requests and joins the threads. */
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
