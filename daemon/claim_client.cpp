#include "daemon/claim_client.h"

#include "contracts/claim.h"
#include "daemon/claim_store.h"
#include "links/platform_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace sardinecourse {

struct ClaimClient::Control
{
  Control(boost::asio::io_context& aContext, PlatformLink& aPlatform)
    : store(aContext, aPlatform)
  {
  }
  ClaimStore<PlatformLink> store;
};

ClaimClient::ClaimClient(boost::asio::io_context& aControl,
                         PlatformLink& aPlatform)
  : context(&aControl)
  , control(std::make_unique<Control>(aControl, aPlatform))
{
}

ClaimClient::~ClaimClient() = default;

boost::asio::awaitable<ClaimAnswer>
ClaimClient::Acquire(Request aRequest)
{
  // The coroutine runs on the control thread; co_spawn delivers its result on
  // the executor of the awaiting coroutine.
  boost::asio::awaitable<ClaimAnswer> claim =
    this->control->store.Acquire(std::move(aRequest));
  ClaimAnswer answer = co_await boost::asio::co_spawn(
    *this->context, std::move(claim), boost::asio::use_awaitable);
  co_return answer;
}

void
ClaimClient::Finalize(Request aRequest, Claim aClaim)
{
  boost::asio::post(
    *this->context,
    [this, request = std::move(aRequest), outcome = std::move(aClaim)] {
      this->control->store.Finalize(request, outcome);
    });
}

void
ClaimClient::Release(Request aRequest)
{
  boost::asio::post(*this->context, [this, request = std::move(aRequest)] {
    this->control->store.Release(request);
  });
}

}
