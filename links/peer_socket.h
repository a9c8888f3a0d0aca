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
 * thread's io_context. Sends and receives complete binary messages. The source
 * is compiled as C++17 and this header is used from C++20, so it includes
 * neither the websocket library nor the value types of this project.
 */
class PeerSocket
{
public:
  /** Number of a connection; never reused, never 0. */
  using Id = std::uint64_t;

  /** Called in the io_context's thread, never from inside a call of PeerSocket.
   * Each connection that Connect() returned or onOpen reported gets exactly one
   * onClose, unless the PeerSocket is destroyed before. */
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

  /** Starts to accept connections; false, with the error, if the endpoint
   * cannot be bound. */
  bool Listen(const std::string& aIp, std::uint16_t aPort, std::string& aError);
  /** Dials an endpoint and returns the number of the connection; 0 if the
   * attempt could not be started. */
  Id Connect(const std::string& aIp, std::uint16_t aPort);
  /** Queues one message; false if the connection is not open or its queue is
   * full, and the message is then discarded. */
  bool Send(Id aId, const std::string& aBytes);
  /** Closes the connection at once; queued messages may be lost. */
  void Drop(Id aId);
  /** Stops accepting, and closes each connection after its queued messages. */
  void Stop();

private:
  struct State;

  std::shared_ptr<State> state;
};

}
