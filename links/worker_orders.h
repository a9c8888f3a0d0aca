#pragma once

#include "core/instant.h"
#include "links/order_outcome.h"
#include "links/poll_answer.h"
#include "links/poll_request.h"

#include <boost/asio/awaitable.hpp>
#include <concepts>
#include <cstdint>
#include <string>

namespace sardinecourse {

class Reason;
class StartOrder;
class StopOrder;
class WorkerListing;

/** Orders of the holder of a scheduling domain to workers, which check fencing
 * tokens. The numbers of Start() are the time from which the worker refuses
 * the start, in ms on its own clock, and the fencing token; the number of
 * Stop() is the fencing token. */
template<typename Link>
concept WorkerOrders = requires(Link& aLink,
                                const WorkerListing& aWorker,
                                const PollRequest& aRequest,
                                const StartOrder& aStart,
                                const StopOrder& aStop,
                                const std::string& aPayload,
                                std::int64_t aNumber,
                                Reason& aReason)
{
  {
    aLink.Poll(aWorker, aRequest, aReason)
    } -> std::same_as<boost::asio::awaitable<PollAnswer>>;
  {
    aLink.Start(aWorker, aStart, aPayload, aNumber, aNumber, aReason)
    } -> std::same_as<boost::asio::awaitable<OrderOutcome>>;
  {
    aLink.Stop(aWorker, aStop, aNumber, aReason)
    } -> std::same_as<boost::asio::awaitable<OrderOutcome>>;
};

}
