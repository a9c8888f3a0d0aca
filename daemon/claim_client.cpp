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
    : keeper(aContext, aPlatform)
  {
  }
  ClaimStore<PlatformLink> keeper;
};

ClaimClient::ClaimClient(boost::asio::io_context& aControl,
                         PlatformLink& aPlatform)
  : context(&aControl)
  , control(std::make_unique<Control>(aControl, aPlatform))
{
}

ClaimClient::~ClaimClient() = default;

boost::asio::awaitable<ClaimAnswer>
ClaimClient::Take(Request aRequest)
{
  // The coroutine runs on the control thread; its result comes back to the
  // executor of the one that waits here.
  boost::asio::awaitable<ClaimAnswer> taking =
    this->control->keeper.Take(std::move(aRequest));
  ClaimAnswer answer = co_await boost::asio::co_spawn(
    *this->context, std::move(taking), boost::asio::use_awaitable);
  co_return answer;
}

void
ClaimClient::Settle(Request aRequest, Claim aClaim)
{
  boost::asio::post(
    *this->context,
    [this, request = std::move(aRequest), claim = std::move(aClaim)] {
      this->control->keeper.Settle(request, claim);
    });
}

void
ClaimClient::Release(Request aRequest)
{
  boost::asio::post(*this->context, [this, request = std::move(aRequest)] {
    this->control->keeper.Release(request);
  });
}

}
