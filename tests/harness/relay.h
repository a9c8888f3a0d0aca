#pragma once

#include "core/endpoint.h"
#include "core/instant.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace sardinecourse::harness {

/** What a relay does with its connections. */
enum class RelayMode : std::uint8_t
{
  /** Forwards in both directions. */
  kForward,
  /** Resets open and new connections. */
  kCut,
  /** Resets open connections and refuses new ones, as a port on which nothing
   * listens. */
  kClosed,
  /** Accepts connections and reads, but forwards neither bytes nor closes;
   * connections open at the change stay in this state until they are reset. */
  kBlackhole,
  /** As kBlackhole for the connections that are open at the change; forwards
   * later ones. */
  kBlackholeOpen
};

class RelayThread;

/** A TCP relay that injects faults into one link. */
class Relay
{
public:
  /** Listens on aListen and forwards to aTarget, in a thread of its own. */
  Relay(Endpoint aListen, const Endpoint& aTarget);
  /** As above, in a thread of several relays; all of them stop with the first
   * that is destroyed. */
  Relay(Endpoint aListen,
        const Endpoint& aTarget,
        std::shared_ptr<RelayThread> aThread);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const Endpoint& Address() const { return this->listen; }
  /** Changes the mode, asynchronously. */
  void Set(RelayMode aMode);
  /** Delays each block of data by aDelay; zero by default. */
  void SetDelay(Milliseconds aDelay);
  /** Payload bytes forwarded in both directions together. */
  std::uint64_t ForwardedBytes() const;

private:
  struct State;

  Endpoint listen;
  std::shared_ptr<State> state;
};

}
