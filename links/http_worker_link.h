#pragma once

#include "links/http_connection.h"
#include "links/worker_link.h"

#include <map>
#include <string>
#include <vector>

namespace sardinecourse {

/** WorkerLink over HTTP, with a pool of a few idle connections per worker. */
class HttpWorkerLink
{
public:
  HttpWorkerLink(boost::asio::io_context& aContext,
                 Milliseconds aCommandTimeout);

  boost::asio::awaitable<std::optional<TaskList>> Renew(const Worker& aWorker,
                                                        Milliseconds aLease,
                                                        std::int64_t aVersion,
                                                        Reason& aReason);
  boost::asio::awaitable<CommandOutcome> Start(const Worker& aWorker,
                                               const Task& aTask,
                                               Reason& aReason);
  boost::asio::awaitable<CommandOutcome> Release(const Worker& aWorker,
                                                 const TaskName& aName,
                                                 Reason& aReason);
  boost::asio::awaitable<CommandOutcome> Stop(const Worker& aWorker,
                                              const TaskName& aName,
                                              Reason& aReason);
  boost::asio::awaitable<std::optional<Milliseconds>> Checkpoint(
    const Worker& aWorker,
    const TaskName& aName,
    Milliseconds aGrace,
    Reason& aReason);

private:
  boost::asio::awaitable<std::optional<HttpAnswer>> Call(
    Endpoint aWorker,
    HttpRequest aRequest,
    Milliseconds aTimeout,
    ExchangeProgress& aProgress,
    Reason& aReason);
  boost::asio::awaitable<CommandOutcome> Command(Endpoint aWorker,
                                                 HttpRequest aRequest,
                                                 Reason& aReason);

  boost::asio::io_context* context;
  Milliseconds commandTimeout;
  std::map<Endpoint, std::vector<HttpConnection>> idle;
};

}
