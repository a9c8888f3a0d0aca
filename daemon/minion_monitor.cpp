#include "daemon/minion_monitor.h"

#include "core/reason.h"
#include "daemon/minion_registry.h"
#include "links/http_connection.h"
#include "links/http_request.h"
#include "links/minion_protocol.h"
#include "links/platform_link.h"
#include "machines/minion_state.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace sardinecourse {

namespace asio = boost::asio;

namespace {

constexpr Milliseconds kInterval{ 1000 };
constexpr Milliseconds kAskTimeout{ 500 };
constexpr int kServerError = 500;
/** A peer's sign may come from a list that this host reads later, so it stands
 * at least so long. */
constexpr std::chrono::seconds kPeersSignStands{ 30 };

void
LogChange(const MinionState& aSlot, const char* aChange, const char* aSource)
{
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance("minions"),
                 "minion=" << aSlot.Upstream().Name().Text()
                           << " change=" << aChange << " source=" << aSource);
}

void
ApplyHostList(const HostList& aHosts, MinionState& aSlot)
{
  const std::string& name = aSlot.Upstream().Name().Text();
  const bool wasListed = aSlot.Leaving(LeavingSource::kHostList);
  if (aHosts.IsLeaving(name) && !wasListed) {
    aSlot.MarkLeaving(LeavingSource::kHostList);
    LogChange(aSlot, "leaving", "host_list");
  } else if (aHosts.IsLive(name) && wasListed) {
    aSlot.ClearLeaving(LeavingSource::kHostList);
    LogChange(aSlot, "back", "host_list");
  }
}

}

void
MinionMonitor::Start()
{
  asio::co_spawn(*this->context, this->WatchHostList(), asio::detached);
  asio::co_spawn(*this->context, this->WatchLeaving(), asio::detached);
}

asio::awaitable<void>
MinionMonitor::WatchHostList()
{
  for (;;) {
    Reason reason;
    const std::optional<HostList> hosts =
      co_await this->platform->Hosts(reason);
    if (hosts) {
      for (const auto& [name, slot] : this->minions->All()) {
        ApplyHostList(*hosts, *slot);
      }
    }
    co_await this->Pause(kInterval);
  }
}

asio::awaitable<void>
MinionMonitor::WatchLeaving()
{
  for (;;) {
    // The settings may change while one is asked.
    const auto slots = this->minions->All();
    for (const auto& [name, slot] : slots) {
      const bool isAsked = slot->Leaving(LeavingSource::kMinion) ||
                           slot->Leaving(LeavingSource::kPeer);
      if (isAsked) {
        co_await this->Ask(slot);
      } else {
        this->peersSigns.erase(slot.get());
      }
    }
    co_await this->Pause(kInterval);
  }
}

asio::awaitable<void>
MinionMonitor::Ask(std::shared_ptr<MinionState> aSlot)
{
  const Instant now = Clock::now();
  const Instant first =
    this->peersSigns.try_emplace(aSlot.get(), now).first->second;
  const bool stays = co_await this->Stays(aSlot);
  if (!stays) {
    co_return;
  }
  if (aSlot->Leaving(LeavingSource::kMinion)) {
    aSlot->ClearLeaving(LeavingSource::kMinion);
    LogChange(*aSlot, "back", "own_word");
  }
  if (aSlot->Leaving(LeavingSource::kPeer) && now - first > kPeersSignStands) {
    aSlot->ClearLeaving(LeavingSource::kPeer);
    LogChange(*aSlot, "back", "peer");
  }
}

asio::awaitable<bool>
MinionMonitor::Stays(std::shared_ptr<MinionState> aSlot)
{
  HttpConnection connection(*this->context, aSlot->Upstream().Address());
  Reason reason;
  const bool isOpen = co_await connection.Connect(kAskTimeout, reason);
  if (!isOpen) {
    co_return false;
  }
  const HttpRequest probe = MakeProbe(aSlot->Upstream(), "probe-leaving");
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  const std::optional<HttpAnswer> answer =
    co_await connection.Exchange(probe, kAskTimeout, progress, reason);
  co_return answer && !SaysLeaving(*answer) && !IsRefusal(*answer) &&
    answer->status < kServerError;
}

asio::awaitable<void>
MinionMonitor::Pause(Milliseconds aTime)
{
  boost::system::error_code ignored;
  asio::steady_timer timer(*this->context);
  timer.expires_after(aTime);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

}
