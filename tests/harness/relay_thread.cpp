#include "tests/harness/relay_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace sardinecourse::harness {

struct RelayThread::State
{
  boost::asio::io_context context{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    guard = boost::asio::make_work_guard(context);
  std::thread thread;
};

RelayThread::RelayThread()
  : state(std::make_unique<State>())
{
  this->state->thread =
    std::thread([context = &this->state->context] { context->run(); });
}

RelayThread::~RelayThread()
{
  this->Stop();
}

boost::asio::io_context&
RelayThread::Context()
{
  return this->state->context;
}

void
RelayThread::Stop()
{
  this->state->context.stop();
  if (this->state->thread.joinable()) {
    this->state->thread.join();
  }
}

}
