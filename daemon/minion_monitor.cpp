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

constexpr Milliseconds kPollInterval{ 1000 };
constexpr Milliseconds kProbeTimeout{ 500 };
constexpr int kServerError = 500;
/** A peer's report may be based on a host list that this host has not read yet,
 * so it is kept at least this long. */
constexpr std::chrono::seconds kMinPeerReportAge{ 30 };

void
LogChange(const MinionState& aState, const char* aChange, const char* aSource)
{
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance("minions"),
                 "minion=" << aState.Upstream().Name().Text()
                           << " change=" << aChange << " source=" << aSource);
}

void
ApplyHostList(const HostList& aHosts, MinionState& aState)
{
  const std::string& name = aState.Upstream().Name().Text();
  const bool wasListed = aState.Leaving(LeavingSource::kHostList);
  if (aHosts.IsLeaving(name) && !wasListed) {
    aState.MarkLeaving(LeavingSource::kHostList);
    LogChange(aState, "leaving", "host_list");
  } else if (aHosts.IsLive(name) && wasListed) {
    aState.ClearLeaving(LeavingSource::kHostList);
    LogChange(aState, "back", "host_list");
  }
}

}

void
MinionMonitor::Start()
{
  asio::co_spawn(*this->context, this->PollHostList(), asio::detached);
  asio::co_spawn(*this->context, this->ProbeLeavingMinions(), asio::detached);
}

asio::awaitable<void>
MinionMonitor::PollHostList()
{
  for (;;) {
    Reason reason;
    const std::optional<HostList> hosts =
      co_await this->platform->Hosts(reason);
    if (hosts) {
      for (const auto& [name, state] : this->minions->All()) {
        ApplyHostList(*hosts, *state);
      }
    }
    co_await this->Pause(kPollInterval);
  }
}

asio::awaitable<void>
MinionMonitor::ProbeLeavingMinions()
{
  for (;;) {
    // Copied, because the settings may change during a probe.
    const auto states = this->minions->All();
    for (const auto& [name, state] : states) {
      const bool needsProbe = state->Leaving(LeavingSource::kMinion) ||
                              state->Leaving(LeavingSource::kPeer);
      if (needsProbe) {
        co_await this->Probe(state);
      } else {
        this->firstProbed.erase(state.get());
      }
    }
    co_await this->Pause(kPollInterval);
  }
}

asio::awaitable<void>
MinionMonitor::Probe(std::shared_ptr<MinionState> aState)
{
  const Instant now = Clock::now();
  const Instant first =
    this->firstProbed.try_emplace(aState.get(), now).first->second;
  const bool isAvailable = co_await this->IsAvailable(aState);
  if (!isAvailable) {
    co_return;
  }
  if (aState->Leaving(LeavingSource::kMinion)) {
    aState->ClearLeaving(LeavingSource::kMinion);
    LogChange(*aState, "back", "own_word");
  }
  if (aState->Leaving(LeavingSource::kPeer) &&
      now - first > kMinPeerReportAge) {
    aState->ClearLeaving(LeavingSource::kPeer);
    LogChange(*aState, "back", "peer");
  }
}

asio::awaitable<bool>
MinionMonitor::IsAvailable(std::shared_ptr<MinionState> aState)
{
  HttpConnection connection(*this->context, aState->Upstream().Address());
  Reason reason;
  const bool isOpen = co_await connection.Connect(kProbeTimeout, reason);
  if (!isOpen) {
    co_return false;
  }
  const HttpRequest probe = MakeProbe(aState->Upstream(), "probe-leaving");
  ExchangeProgress progress = ExchangeProgress::kNotSent;
  const std::optional<HttpAnswer> answer =
    co_await connection.Exchange(probe, kProbeTimeout, progress, reason);
  co_return answer && !IndicatesLeaving(*answer) && !IsRefusal(*answer) &&
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
