#pragma once

#include "core/reason.h"
#include "links/worker_orders.h"
#include "zones/start_order.h"

#include <string>
#include <vector>

namespace sardinecourse {

/** WorkerOrders that records starts; polls are never answered. */
class FakeWorkerOrders
{
public:
  std::vector<StartOrder> starts;

  boost::asio::awaitable<PollAnswer> Poll(const WorkerListing&,
                                          const PollRequest&,
                                          Reason&)
  {
    co_return PollAnswer();
  }

  boost::asio::awaitable<OrderOutcome> Start(const WorkerListing&,
                                             const StartOrder& aStart,
                                             const std::string&,
                                             std::int64_t,
                                             std::int64_t,
                                             Reason&)
  {
    this->starts.push_back(aStart);
    co_return OrderOutcome::kDone;
  }

  boost::asio::awaitable<OrderOutcome> Stop(const WorkerListing&,
                                            const StopOrder&,
                                            std::int64_t,
                                            Reason&)
  {
    co_return OrderOutcome::kDone;
  }
};

static_assert(WorkerOrders<FakeWorkerOrders>);

}
