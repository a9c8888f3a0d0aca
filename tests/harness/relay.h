#pragma once

#include "core/endpoint.h"
#include "core/instant.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

namespace sardinecourse::harness {

enum class RelayMode : std::uint8_t
{
  kPass,
  /** Resets open connections and each new one. */
  kCut,
  /** Accepts and reads, and forwards nothing, neither bytes nor closes. */
  kSilent,
  /** As silent for connections open at the change; later ones pass. */
  kSilentOld
};

/** A TCP relay in a thread of its own, to bring about faults of one link. */
class Relay
{
public:
  /** Listens on aListen and forwards to aTarget. */
  Relay(Endpoint aListen, const Endpoint& aTarget);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  const Endpoint& Address() const { return this->listen; }
  void Set(RelayMode aMode);
  /** Holds each piece back for aDelay on its way; zero by default. */
  void Delay(Milliseconds aDelay);
  /** Payload bytes forwarded, both ways together. */
  std::uint64_t ForwardedBytes() const;

private:
  struct State;

  Endpoint listen;
  std::shared_ptr<State> state;
  std::thread thread;
};

}
