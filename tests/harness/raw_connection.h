#pragma once

#include "core/endpoint.h"
#include "core/instant.h"

#include <memory>
#include <string>
#include <string_view>

namespace sardinecourse::harness {

/** A TCP connection of one test thread that sends any bytes at any time, such
 * as part of a request. */
class RawConnection
{
public:
  /** Connects; IsOpen() is false after a failure. A positive aReceiveBuffer
   * limits the kernel's buffer of received bytes. */
  explicit RawConnection(const Endpoint& aServer, int aReceiveBuffer = 0);
  ~RawConnection();
  RawConnection(RawConnection&&) noexcept;
  RawConnection& operator=(RawConnection&&) noexcept;

  /** False once connecting, sending or reading has failed or the other side has
   * ended the connection. */
  bool IsOpen() const;
  /** Sends all bytes; false when the connection has ended. */
  bool Send(std::string_view aBytes);
  /** Sends until aTimeout, or until the connection ends; returns the number of
   * bytes sent. */
  std::size_t SendFor(std::string_view aBytes, Milliseconds aTimeout);
  /** Appends what arrives until aTimeout, or until the connection ends, to
   * Received(). */
  void ReceiveFor(Milliseconds aTimeout);
  /** As ReceiveFor(), but returns once a complete HTTP answer with a length has
   * arrived; true if it has. */
  bool ReceiveAnswer(Milliseconds aTimeout);
  const std::string& Received() const;
  /** Discards Received(). */
  void Forget();
  void Close();

private:
  struct Socket;

  /** Runs the pending operation, and cancels it after aTimeout. */
  void RunFor(Milliseconds aTimeout);
  void ReceiveSome(Milliseconds aTimeout);

  std::unique_ptr<Socket> socket;
};

}
