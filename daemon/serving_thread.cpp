#include "daemon/serving_thread.h"

#include "core/rcu_thread.h"
#include "daemon/request_context.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace sardinecourse {

namespace {

constexpr std::chrono::seconds kIdleCheckInterval{ 5 };

}

ServingThread::ServingThread(RequestContext& aShared, RoutingLogBuffer& aLog)
  : context(1)
  , work(this->context.get_executor())
  , frontEnd(this->context, aShared, aLog)
  , server(this->context,
           this->frontEnd,
           aShared.callerLoad,
           aShared.callerLoad.Limits().ShareOf(aShared.threads))
  , idleCheckTimer(this->context)
{
}

ServingThread::~ServingThread()
{
  this->context.stop();
  this->Join();
}

bool
ServingThread::Start(const Endpoint& aEndpoint,
                     std::function<void()> aOnEnded,
                     Reason& aReason)
{
  this->onEnded = std::move(aOnEnded);
  if (!this->server.Listen(aEndpoint, aReason)) {
    return false;
  }
  this->ScheduleIdleCheck();
  this->thread = std::thread([this] { this->Run(); });
  return true;
}

void
ServingThread::CloseAfterAnswers()
{
  boost::asio::post(this->context,
                    [this] { this->server.CloseAfterAnswers(); });
}

void
ServingThread::Drain(const StopBudget& aBudget)
{
  boost::asio::post(this->context, [this, aBudget] {
    boost::asio::co_spawn(
      this->context, this->server.Drain(aBudget), boost::asio::detached);
    this->idleCheckTimer.cancel();
    this->work.reset();
  });
}

void
ServingThread::Abandon()
{
  this->context.stop();
}

void
ServingThread::Join()
{
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void
ServingThread::Run()
{
  const RcuThread rcuThread;
  this->context.run();
  this->frontEnd.Services().CloseAll();
  this->onEnded();
}

void
ServingThread::ScheduleIdleCheck()
{
  this->idleCheckTimer.expires_after(kIdleCheckInterval);
  this->idleCheckTimer.async_wait(
    [this](const boost::system::error_code& aError) {
      if (!aError) {
        this->frontEnd.Services().CloseIdle();
        this->ScheduleIdleCheck();
      }
    });
}

}
