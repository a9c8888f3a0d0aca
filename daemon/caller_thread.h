#pragma once

#include "core/rcu_thread.h"
#include "core/reason.h"
#include "core/stop_budget.h"
#include "links/http_server.h"
#include "platform/ingress.h"
#include "platform/schema.h"
#include "platform/store_link.h"
#include "scheduling/domain_job_api.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <thread>
#include <utility>

namespace sardinecourse {

class CallerLoad;
class CurrentCatalog;
class DomainHostSettings;
class DomainMetrics;

/** One thread that serves the job API of a scheduling domain, with its own
 * event loop, listener and connections to the store. */
class CallerThread
{
public:
  using JobApi = DomainJobApi<platform::StoreLink, platform::Schema>;

  CallerThread(const DomainHostSettings& aHost,
               CallerLoad& aLoad,
               const CurrentCatalog& aCurrentCatalog,
               DomainMetrics& aMetrics,
               JobApi::CatalogCallback aOnCatalogRow);
  ~CallerThread();
  CallerThread(const CallerThread&) = delete;
  CallerThread& operator=(const CallerThread&) = delete;

  /** Listens and starts the thread, which calls aOnEnded after its last answer.
   * False, with the reason, when it cannot listen. */
  bool Start(std::function<void()> aOnEnded, Reason& aReason);
  /** Begins a stop: closes each connection after its next answer; new
   * connections are still served. */
  void CloseAfterAnswers(const StopBudget& aBudget);
  /** Accepts no new connections, closes the open ones after their pending
   * answers, and then ends the thread; see HttpServer::Drain(). */
  void Drain(const StopBudget& aBudget);
  /** Ends the thread although calls are not answered. */
  void Abandon();
  /** Blocks until the thread has ended. */
  void Join();

private:
  using Ingress = platform::Ingress<JobApi>;

  Endpoint callers;
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  platform::StoreLink store;
  JobApi jobApi;
  Ingress ingress;
  HttpServer<Ingress> server;
  std::thread thread;
};

}
