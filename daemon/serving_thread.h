#pragma once

#include "core/snapshot.h"
#include "daemon/front_end.h"
#include "links/http_server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace sardinecourse {

class Endpoint;
class Reason;

/** One thread that serves callers, with its own event loop, listener and
 * connections. */
class ServingThread
{
public:
  explicit ServingThread(const Snapshot<MinionTable>& aMinions);
  ~ServingThread();
  ServingThread(const ServingThread&) = delete;
  ServingThread& operator=(const ServingThread&) = delete;

  bool Start(const Endpoint& aEndpoint, Reason& aReason);
  /** Takes no new connections; those open close after the answers they are
   * working on. */
  void Drain();
  /** Waits until the thread has ended; it ends once drained. */
  void Join();

private:
  void Run();

  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  FrontEnd frontEnd;
  HttpServer<FrontEnd> server;
  std::thread thread;
};

}
