#pragma once

#include "core/endpoint.h"
#include "tests/harness/raw_connection.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sardinecourse::harness {

/** Callers that keep a connection each, send without regard to limits, and read
 * nothing. */
class CallerCrowd
{
public:
  /** Connects aCallers callers. One that the host does not accept at once stays
   * in the crowd without a connection. */
  CallerCrowd(const Endpoint& aHost, int aCallers);

  /** Each caller sends aBytes, as far as the host takes them. */
  void Send(std::string_view aBytes);
  /** The callers take turns in sending aBlock, until each has sent it aTimes or
   * the host takes no more from it. */
  void SendRepeatedly(std::string_view aBlock, int aTimes);

private:
  std::vector<RawConnection> connections;
};

/** aTimes copies of aText. */
std::string
Repeated(std::string_view aText, std::size_t aTimes);

}
