#pragma once

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

  /** aEnded is called in the thread when it has served its last request. */
  bool Start(const Endpoint& aEndpoint,
             std::function<void()> aEnded,
             Reason& aReason);
  /** Each connection closes after its answer; new ones are still served. */
  void CloseAfterAnswers();
  /** Takes no new connections; those open close after the answers they are
   * working on. */
  void Drain();
  /** Waits until the thread has ended; it ends once drained. */
  void Join();

private:
  void Run();
  void TidyLater();

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  FrontEnd frontEnd;
  HttpServer<FrontEnd> server;
  boost::asio::steady_timer tidyTimer;
  std::function<void()> ended;
  std::thread thread;
};

}
