#pragma once

#include <memory>

namespace boost::asio {
class io_context;
}

namespace sardinecourse::harness {

/** The thread of one or more relays. */
class RelayThread
{
public:
  RelayThread();
  ~RelayThread();
  RelayThread(const RelayThread&) = delete;
  RelayThread& operator=(const RelayThread&) = delete;

  boost::asio::io_context& Context();
  /** Stops every relay of the thread and waits for its end. */
  void Stop();

private:
  struct State;

  std::unique_ptr<State> state;
};

}
