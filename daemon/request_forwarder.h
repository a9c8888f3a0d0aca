#pragma once

#include "contracts/attempt_end.h"
#include "core/snapshot.h"
#include "daemon/forward_result.h"
#include "daemon/slot_queue.h"
#include "links/http_request.h"
#include "links/minion_links.h"
#include "machines/slot_guard.h"
#include "zones/minion_table.h"
#include "zones/retry_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

namespace sardinecourse {

class Readiness;
class Request;
class RequestMetrics;
class RequestProgress;
class RoutingLogBuffer;
struct RoutedMinion;

/** Forwards the requests of one serving thread to minions: applies the routing,
 * retry and shedding decisions and sends the messages over the thread's links.
 */
class RequestForwarder
{
public:
  RequestForwarder(boost::asio::io_context& aContext,
                   const Snapshot<MinionTable>& aMinions,
                   RequestMetrics& aMetrics,
                   RoutingLogBuffer& aLog,
                   const Readiness& aReadiness,
                   std::int32_t aThreads);

  /** Tries minions until one answers or no further attempt is allowed. Without
   * an answer the result holds the reason. */
  boost::asio::awaitable<ForwardResult> Forward(Request aRequest,
                                                HttpRequest aMessage);

  /** Closes connections that have been idle for some time. */
  void CloseIdle() { this->links.CloseIdle(Clock::now()); }
  void CloseAll() { this->links.CloseAll(); }

private:
  /** Returns once settings are in force, or at the deadline. */
  boost::asio::awaitable<void> AwaitSettings(Instant aDeadline);
  /** This thread's queue and statistics of one service. */
  struct ServiceState
  {
    explicit ServiceState(boost::asio::io_context& aContext)
      : queue(aContext)
    {
    }
    SlotQueue queue;
    /** Smoothed time to an answer; zero before the first answer. */
    std::chrono::microseconds latency{ 0 };
  };

  /** Chooses a minion with a free slot, and waits in the service's queue for
   * one if necessary. Empty, with the reason, on refusal or at the deadline. */
  boost::asio::awaitable<std::optional<RoutedMinion>>
  AcquireSlot(Request aRequest, const MinionState* aAvoided, Reason& aReason);
  boost::asio::awaitable<std::optional<HttpAnswer>> Attempt(
    Request aRequest,
    SlotGuard aGuard,
    std::shared_ptr<MinionState> aMinion,
    HttpRequest aMessage,
    Instant aDeadline,
    AttemptEnd& aEnd,
    Reason& aReason);
  std::optional<RoutedMinion> TryRoute(const Request& aRequest,
                                       const MinionState* aAvoided,
                                       Reason& aReason);
  bool Serves(const ServiceName& aService) const;
  bool Admits(const Request& aRequest,
              const ServiceState& aState,
              Reason& aReason);
  ServiceState& StateOf(const ServiceName& aService);
  void UpdateLatency(ServiceState& aState, std::chrono::microseconds aLatency);
  void Log(const Request& aRequest,
           const RequestProgress& aProgress,
           const std::optional<RoutedMinion>& aRouted,
           const Reason& aReason);

  boost::asio::io_context* context;
  const Snapshot<MinionTable>* minions;
  RequestMetrics* metrics;
  RoutingLogBuffer* log;
  const Readiness* readiness;
  /** Number of serving threads, which share this host's slots. */
  std::int32_t threads;
  MinionLinks links;
  RetryBudget budget;
  std::unordered_map<ServiceName, ServiceState> services;
  std::mt19937_64 random;
};

}
