#include "tests/harness/loopback.h"

#include "core/reason.h"

#include <arpa/inet.h>
#include <atomic>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace sardinecourse::harness {

namespace {

/** Below the kernel's ephemeral port range, so that no outgoing connection
 * takes one of these ports. */
constexpr int kFirstPort = 10000;
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kByteMask = 0xff;

std::string
ProcessAddress()
{
  const auto pid = static_cast<unsigned>(getpid());
  // The second byte starts at 1, so that 127.0.0.1 is never used.
  const unsigned second = 1 + ((pid >> (2 * kBitsPerByte)) & kByteMask);
  const unsigned third = (pid >> kBitsPerByte) & kByteMask;
  return "127." + std::to_string(second) + "." + std::to_string(third) + "." +
         std::to_string(pid & kByteMask);
}

bool
IsFree(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  const bool isFree = bind(socket,
                           reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) == 0;
  close(socket);
  return isFree;
}

}

Endpoint
FreeEndpoint()
{
  static std::atomic<int> next = kFirstPort;
  const std::string ip = ProcessAddress();
  int port = next++;
  while (!IsFree(ip, port)) {
    port = next++;
  }
  Reason reason;
  return Endpoint::Parse(ip + ":" + std::to_string(port), reason)
    .value_or(Endpoint());
}

}
