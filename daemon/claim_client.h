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

/** Through which serving threads reach the control thread's claim keeper. */
class ClaimClient
{
public:
  /** aControl is the control thread's context, which the link runs on. */
  ClaimClient(boost::asio::io_context& aControl, PlatformLink& aPlatform);
  ~ClaimClient();
  ClaimClient(const ClaimClient&) = delete;
  ClaimClient& operator=(const ClaimClient&) = delete;

  /** Claims the request's key, or tells what holds it; resumes in the caller's
   * thread. */
  boost::asio::awaitable<ClaimAnswer> Take(Request aRequest);
  /** Stores what became of a claimed request. */
  void Settle(Request aRequest, Claim aClaim);
  /** Gives the key of a request back that certainly did not run and never will.
   */
  void Release(Request aRequest);

private:
  struct Control;

  boost::asio::io_context* context;
  std::unique_ptr<Control> control;
};

}
