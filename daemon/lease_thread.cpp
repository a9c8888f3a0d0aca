#include "daemon/lease_thread.h"

#include "contracts/domain_host_settings.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

/** Calls per length of the lease that may go unanswered one after the other
 * before the lease expires. */
constexpr int kCallsPerLease = 3;

}

LeaseThread::LeaseThread(const DomainHostSettings& aHost,
                         std::string aProcess,
                         Loop::Listener aListener)
  : context(1)
  , work(this->context.get_executor())
  , store(this->context,
          aHost.Store(),
          aHost.Timing().HolderLease() / kCallsPerLease)
  , loop(this->context,
         this->store,
         aHost.Name(),
         std::move(aProcess),
         aHost.Timing().HolderLease(),
         aHost.ShareOfCore(),
         std::move(aListener))
{
}

LeaseThread::~LeaseThread()
{
  this->Stop();
}

void
LeaseThread::Start()
{
  asio::co_spawn(this->context, this->loop.Run(), asio::detached);
  this->thread = std::thread([this] { this->context.run(); });
}

void
LeaseThread::Stop()
{
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
LeaseThread::Deposed(std::int64_t aTerm)
{
  asio::post(this->context, [this, aTerm] { this->loop.Deposed(aTerm); });
}

asio::awaitable<void>
LeaseThread::Release()
{
  co_await asio::co_spawn(
    this->context, this->loop.Release(), asio::use_awaitable);
}

}
