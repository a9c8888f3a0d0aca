#include "tests/harness/caller_crowd.h"

namespace sardinecourse::harness {

namespace {

/** How long a caller waits for the host to take what it sends. */
constexpr Milliseconds kSendTimeout{ 250 };

}

CallerCrowd::CallerCrowd(const Endpoint& aHost, int aCallers)
{
  this->connections.reserve(static_cast<std::size_t>(aCallers));
  for (int caller = 0; caller < aCallers; ++caller) {
    this->connections.emplace_back(aHost);
  }
}

void
CallerCrowd::Send(std::string_view aBytes)
{
  this->SendRepeatedly(aBytes, 1);
}

void
CallerCrowd::SendRepeatedly(std::string_view aBlock, int aTimes)
{
  std::vector<bool> isStalled(this->connections.size());
  for (int turn = 0; turn < aTimes; ++turn) {
    for (std::size_t caller = 0; caller < this->connections.size(); ++caller) {
      RawConnection& connection = this->connections[caller];
      if (connection.IsOpen() && !isStalled[caller]) {
        isStalled[caller] =
          connection.SendFor(aBlock, kSendTimeout) < aBlock.size();
      }
    }
  }
}

std::string
Repeated(std::string_view aText, std::size_t aTimes)
{
  std::string text;
  text.reserve(aText.size() * aTimes);
  for (std::size_t time = 0; time < aTimes; ++time) {
    text += aText;
  }
  return text;
}

}
