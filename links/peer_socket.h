#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

/**
 * Websocket connections between entry hosts, both accepted and dialled, in one
 * thread's io_context. Whole binary messages go in and come out. It is compiled
 * as C++17 and used from C++20, so it names neither the websocket library nor
 * our value types.
 */
class PeerSocket
{
public:
  /** Numbers a connection; never used twice. */
  using Id = std::uint64_t;

  /** Called in the io_context's thread, never from inside a call of PeerSocket.
   * Every connection that Connect() gave or onOpen named ends in one onClose.
   */
  struct Events
  {
    std::function<void(Id)> onOpen;
    std::function<void(Id, const std::string& aBytes)> onMessage;
    std::function<void(Id, const std::string& aError)> onClose;
  };

  PeerSocket(boost::asio::io_context& aContext, Events aEvents);
  ~PeerSocket();
  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;

  /** Starts to accept; false, with the error, when the endpoint is not free. */
  bool Listen(const std::string& aIp, std::uint16_t aPort, std::string& aError);
  /** Dials; 0 when the attempt could not even begin. */
  Id Connect(const std::string& aIp, std::uint16_t aPort);
  /** Queues one message; false when the connection is not open or its queue is
   * full, and the message is then dropped. */
  bool Send(Id aId, const std::string& aBytes);
  /** Drops the connection at once; what is queued may be lost. */
  void Drop(Id aId);
  /** Accepts no more and closes each connection after what is queued on it. */
  void Stop();

private:
  struct State;

  std::shared_ptr<State> state;
};

}
