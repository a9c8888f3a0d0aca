#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <compare>
#include <string>

namespace sardinecourse {

/** A caller's short request, as the decisions see it: whatever the front end's
 * protocol, without its content. */
class Request
{
public:
  /** Distinguishes this request from every other one that reaches a minion. */
  const std::string& Identity() const { return this->identity; }
  const ServiceName& Service() const { return this->service; }
  const TeamName& Team() const { return this->team; }
  /** True if running it twice has the effect of running it once. */
  bool Idempotent() const { return this->idempotent; }
  /** The caller's idempotency key; empty if there is none. */
  const std::string& Key() const { return this->key; }
  /** Hash of method, target and body, by which a key's reuse for another
   * request is found. */
  const std::string& Fingerprint() const { return this->fingerprint; }
  /** The caller wants no answer after this point. */
  Instant Deadline() const { return this->deadline; }

  /** True if its key has to be claimed before it is sent. */
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
