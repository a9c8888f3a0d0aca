#include "daemon/daemon.h"

#include "core/rcu_thread.h"
#include "core/reason.h"
#include "daemon/logging.h"
#include "daemon/serving_thread.h"
#include "zones/fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <utility>

namespace sardinecourse {

namespace {

/** Time for the balancer to see that this host is no longer ready. */
constexpr Milliseconds kReadinessGrace{ 2000 };
constexpr Milliseconds kSettleGrace{ 1000 };
/** Time that a new host gives the platform before it takes the settings of its
 * peers. */
constexpr Milliseconds kPlatformWait{ 2000 };

}

Daemon::Daemon(HostSettings aSettings)
  : settings(std::move(aSettings))
  , control(1)
  , controlWork(this->control.get_executor())
  , stopTimer(this->control)
  , platform(this->control, this->settings.Platform())
  , peers(this->control, this->settings, *this)
  , adopter([this](const Fleet& aFleet) { this->Adopt(aFleet); })
  , keeper(this->control,
           this->settings.Host().DataCentre(),
           this->platform,
           this->peers,
           this->adopter,
           kPlatformWait)
  , operators(this->control,
              this->keeper,
              StatusResource(this->settings.Host(),
                             this->keeper,
                             this->platform,
                             this->peers))
  , minions(this->settings.Host().DataCentre())
  , watch(this->control, this->minions, this->platform)
  , requests(this->settings.Host().Name(),
             this->settings.Threads(),
             this->control,
             this->platform,
             this->operators)
  , jobs(this->control, this->platform, this->peers, this->settings)
{
  this->requests.jobs = &this->jobs;
}

Daemon::~Daemon() = default;

bool
Daemon::Run(Reason& aReason)
{
  const RcuThread rcuThread;
  if (!this->peers.Start(aReason) || !this->StartServing(aReason)) {
    return false;
  }
  boost::asio::signal_set signals(this->control, SIGTERM, SIGINT);
  signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      this->Stop();
    }
  });
  boost::asio::co_spawn(
    this->control, this->keeper.Run(), boost::asio::detached);
  this->watch.Start();
  this->control.run();
  for (const std::unique_ptr<ServingThread>& thread : this->serving) {
    thread->Join();
  }
  return true;
}

void
Daemon::Adopt(const Fleet& aFleet)
{
  const SettingsScope here{ this->settings.Host().DataCentre(), {}, {} };
  SetLogLevel(aFleet.Settings().Resolve(here).LogLevel());
  this->requests.minions.Publish(this->minions.Adopt(aFleet));
  this->peers.Adopt(aFleet, this->minions.Home());
  this->OnPeerLoads();
  this->jobs.Adopt(aFleet);
  this->requests.readiness.SettingsInForce();
}

const SettingsText&
Daemon::SettingsInForce() const
{
  return this->keeper.InForce();
}

void
Daemon::OnPeerRevision(std::int64_t aRevision)
{
  this->keeper.OnPeerRevision(aRevision);
}

void
Daemon::OnMinionLeaving(const MinionName& aMinion)
{
  const std::shared_ptr<MinionState> slot = this->minions.Find(aMinion);
  if (slot) {
    slot->MarkLeaving(LeavingSource::kPeer);
  }
}

void
Daemon::OnPeerLoads()
{
  this->minions.Share(this->peers.ServingHosts(), this->peers.PeersInFlight());
}

void
Daemon::OnQueueChange()
{
  this->jobs.QueueChanged();
}

bool
Daemon::Promise(const HostName& aHolder, std::int64_t aTerm)
{
  return this->jobs.Promise(aHolder, aTerm);
}

bool
Daemon::StartServing(Reason& aReason)
{
  for (std::int32_t count = 0; count < this->settings.Threads(); ++count) {
    auto thread = std::make_unique<ServingThread>(this->requests,
                                                  this->routingLog.AddBuffer());
    const auto ended = [this] {
      boost::asio::post(this->control, [this] { this->ServingEnded(); });
    };
    if (!thread->Start(this->settings.Host().Callers(), ended, aReason)) {
      return false;
    }
    this->serving.push_back(std::move(thread));
  }
  this->routingLog.Start();
  return true;
}

void
Daemon::Stop()
{
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance("daemon"),
                 "planned_stop step=readiness_off");
  this->requests.readiness.StartDraining();
  this->peers.AnnounceLeaving();
  boost::asio::co_spawn(
    this->control, this->jobs.Stop(), boost::asio::detached);
  for (const std::unique_ptr<ServingThread>& thread : this->serving) {
    thread->CloseAfterAnswers();
  }
  this->stopTimer.expires_after(kReadinessGrace);
  this->stopTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->DrainServing();
    }
  });
}

void
Daemon::DrainServing()
{
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance("daemon"),
                 "planned_stop step=drain");
  for (const std::unique_ptr<ServingThread>& thread : this->serving) {
    thread->Drain();
  }
}

void
Daemon::ServingEnded()
{
  ++this->servingEnded;
  if (this->servingEnded < this->serving.size()) {
    return;
  }
  // What became of the last requests is still on its way to the table.
  this->stopTimer.expires_after(kSettleGrace);
  this->stopTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      LOG4CPLUS_INFO(log4cplus::Logger::getInstance("daemon"),
                     "planned_stop step=done");
      this->peers.Stop();
      this->control.stop();
    }
  });
}

}
