#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <string>

namespace sardinecourse {

/** A caller's short request, without its content and independent of the front
 * end's protocol. */
class Request
{
public:
  /** Unique identity of this request among all requests that reach a minion. */
  const std::string& Identity() const { return this->identity; }
  const ServiceName& Service() const { return this->service; }
  const TeamName& Team() const { return this->team; }
  /** True if running the request twice has the same effect as running it
   * once. */
  bool Idempotent() const { return this->idempotent; }
  /** The caller's idempotency key; empty if there is none. */
  const std::string& Key() const { return this->key; }
  /** Hash of method, target and body; detects reuse of a key for a different
   * request. */
  const std::string& Fingerprint() const { return this->fingerprint; }
  /** Time after which the caller no longer waits for an answer. */
  Instant Deadline() const { return this->deadline; }

  /** True if the request's key must be claimed before the request is sent. */
  bool NeedsClaim() const { return !this->idempotent && !this->key.empty(); }

  auto operator<=>(const Request&) const = default;

private:
  friend class RequestBuilder;

  std::string identity;
  ServiceName service;
  TeamName team;
  bool idempotent = false;
  std::string key;
  std::string fingerprint;
  Instant deadline;
};

}
