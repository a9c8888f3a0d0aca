#pragma once

#include "links/http_server.h"
#include "platform/store_link.h"
#include "scheduling/lease_loop.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <thread>

namespace sardinecourse {

class DomainHostSettings;

/** A thread that only competes for the domain's lease and renews it, with its
 * own event loop and connection to the store, so that no work of the holder can
 * delay a renewal. The public functions may be called on any thread. */
class LeaseThread
{
public:
  using Loop = LeaseLoop<platform::StoreLink>;

  /** aListener is called on the lease thread. */
  LeaseThread(const DomainHostSettings& aHost,
              std::string aProcess,
              Loop::Listener aListener);
  ~LeaseThread();
  LeaseThread(const LeaseThread&) = delete;
  LeaseThread& operator=(const LeaseThread&) = delete;

  void Start();
  /** Ends the thread without a release of the lease, and waits for it. */
  void Stop();

  /** Time until which no other process may take over. */
  Instant ExclusiveUntil() const { return this->loop.ExclusiveUntil(); }
  /** See LeaseLoop::Deposed(). */
  void Deposed(std::int64_t aTerm);
  /** See LeaseLoop::Release(). */
  boost::asio::awaitable<void> Release();

private:
  boost::asio::io_context context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  platform::StoreLink store;
  Loop loop;
  std::thread thread;
};

}
