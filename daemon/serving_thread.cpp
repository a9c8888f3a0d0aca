#include "daemon/serving_thread.h"

#include "core/rcu_thread.h"

#include <boost/asio/post.hpp>

namespace sardinecourse {

ServingThread::ServingThread(const Snapshot<MinionTable>& aMinions)
  : context(1)
  , work(this->context.get_executor())
  , frontEnd(this->context, aMinions)
  , server(this->context, this->frontEnd)
{
}

ServingThread::~ServingThread()
{
  this->context.stop();
  this->Join();
}

bool
ServingThread::Start(const Endpoint& aEndpoint, Reason& aReason)
{
  if (!this->server.Listen(aEndpoint, aReason)) {
    return false;
  }
  this->thread = std::thread([this] { this->Run(); });
  return true;
}

void
ServingThread::Drain()
{
  boost::asio::post(this->context, [this] {
    this->server.Drain();
    this->work.reset();
  });
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
}

}
