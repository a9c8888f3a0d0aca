#pragma once

#include "contracts/claim_answer.h"
#include "contracts/request.h"

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace sardinecourse {

class Claim;
class PlatformLink;

/** Gives serving threads access to the ClaimStore of the control thread. */
class ClaimClient
{
public:
  /** aControl is the context of the control thread; aPlatform runs on it. */
  ClaimClient(boost::asio::io_context& aControl, PlatformLink& aPlatform);
  ~ClaimClient();
  ClaimClient(const ClaimClient&) = delete;
  ClaimClient& operator=(const ClaimClient&) = delete;

  /** Claims the request's idempotency key, or returns the claim that already
   * holds it. The outcome is kOwned only before the request's deadline, and
   * kUnavailable if the table gave no certain answer. Resumes on the
   * caller's thread. */
  boost::asio::awaitable<ClaimAnswer> Acquire(Request aRequest);
  /** Stores the outcome of a claimed request; returns before it is written. */
  void Finalize(Request aRequest, Claim aClaim);
  /** Releases the key of a request that certainly did not run and never will;
   * returns before the row is deleted. */
  void Release(Request aRequest);

private:
  struct Control;

  boost::asio::io_context* context;
  std::unique_ptr<Control> control;
};

}
