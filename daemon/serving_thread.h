#pragma once

#include "core/stop_budget.h"
#include "daemon/front_end.h"
#include "links/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <thread>

namespace sardinecourse {

class Endpoint;
class Reason;
class RoutingLogBuffer;
struct RequestContext;

/** One thread that serves callers, with its own event loop, listener and
 * connections. */
class ServingThread
{
public:
  ServingThread(RequestContext& aShared, RoutingLogBuffer& aLog);
  ~ServingThread();
  ServingThread(const ServingThread&) = delete;
  ServingThread& operator=(const ServingThread&) = delete;

  /** Listens and starts the thread, which calls aOnEnded after its last answer.
   * False, with the reason, when it cannot listen. */
  bool Start(const Endpoint& aEndpoint,
             std::function<void()> aOnEnded,
             Reason& aReason);
  /** Closes each connection after its next answer; new connections are still
   * served. */
  void CloseAfterAnswers();
  /** Accepts no new connections, closes the open ones after their pending
   * answers, and then ends the thread; see HttpServer::Drain(). */
  void Drain(const StopBudget& aBudget);
  /** Ends the thread although requests are not answered. */
  void Abandon();
  /** Blocks until the thread has ended, which it does once drained. */
  void Join();

private:
  void Run();
  void ScheduleIdleCheck();

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  FrontEnd frontEnd;
  HttpServer<FrontEnd> server;
  boost::asio::steady_timer idleCheckTimer;
  std::function<void()> onEnded;
  std::thread thread;
};

}
