#include "daemon/daemon.h"

#include "core/rcu_thread.h"
#include "core/reason.h"
#include "daemon/logging.h"
#include "daemon/serving_thread.h"
#include "zones/fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <functional>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <sstream>
#include <utility>

namespace sardinecourse {

namespace {

/** Time for the final claims of the last requests to be written. */
constexpr Milliseconds kClaimWriteGrace{ 1000 };
/** How long a starting host waits for the platform before it accepts settings
 * from its peers. */
constexpr Milliseconds kPlatformWait{ 2000 };

void
LogRefusals(const CallerLoadWatch::Counts& aCounts)
{
  std::ostringstream line;
  for (std::size_t cause = 0; cause < kCallerRefusals; ++cause) {
    if (aCounts.at(cause) > 0) {
      line << ' ' << kCallerRefusalNames.at(cause) << '=' << aCounts.at(cause);
    }
  }
  LOG4CPLUS_WARN(log4cplus::Logger::getInstance("daemon"),
                 "callers_refused" << line.str());
}

void
RunAt(boost::asio::steady_timer& aTimer,
      Instant aInstant,
      std::function<void()> aAction)
{
  aTimer.expires_after(aInstant - Clock::now());
  aTimer.async_wait(
    [action = std::move(aAction)](const boost::system::error_code& aError) {
      if (!aError) {
        action();
      }
    });
}

}

Daemon::Daemon(HostSettings aSettings)
  : settings(std::move(aSettings))
  , control(1)
  , controlWork(this->control.get_executor())
  , stopSignals(this->control, SIGTERM, SIGINT)
  , stopTimer(this->control)
  , budgetTimer(this->control)
  , platform(this->control, this->settings.Platform())
  , peers(this->control, this->settings, *this)
  , adopter([this](const Fleet& aFleet) { this->Adopt(aFleet); })
  , settingsManager(this->control,
                    this->settings.Host().DataCentre(),
                    this->platform,
                    this->peers,
                    this->adopter,
                    kPlatformWait)
  , operators(this->control,
              this->settingsManager,
              StatusResource(this->settings.Host(),
                             this->settingsManager,
                             this->platform,
                             this->peers))
  , minions(this->settings.Host().DataCentre())
  , minionMonitor(this->control, this->minions, this->platform)
  , requests(this->settings.Host().Name(),
             this->settings.Threads(),
             this->settings.Limits(),
             this->control,
             this->platform,
             this->operators)
  , callerLoadWatch(this->control, this->requests.callerLoad, &LogRefusals)
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
  this->stopSignals.async_wait(
    [this](const boost::system::error_code& aError, int) {
      if (!aError) {
        this->Stop();
      }
    });
  boost::asio::co_spawn(
    this->control, this->settingsManager.Run(), boost::asio::detached);
  boost::asio::co_spawn(
    this->control, this->callerLoadWatch.Run(), boost::asio::detached);
  this->minionMonitor.Start();
  this->control.run();
  for (const std::unique_ptr<ServingThread>& thread : this->servingThreads) {
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
  this->peers.Adopt(aFleet, this->minions.LocalMinions());
  this->OnPeerLoads();
  this->jobs.Adopt(aFleet);
  this->requests.readiness.MarkSettingsInForce();
}

const SettingsText&
Daemon::SettingsInForce() const
{
  return this->settingsManager.InForce();
}

void
Daemon::OnPeerRevision(std::int64_t aRevision)
{
  this->settingsManager.OnPeerRevision(aRevision);
}

void
Daemon::OnMinionLeaving(const MinionName& aMinion)
{
  const std::shared_ptr<MinionState> state = this->minions.Find(aMinion);
  if (state) {
    state->MarkLeaving(LeavingSource::kPeer);
  }
}

void
Daemon::OnPeerLoads()
{
  this->minions.UpdateShares(this->peers.ServingHosts(),
                             this->peers.PeersInFlight());
}

void
Daemon::OnQueueChange()
{
  this->jobs.OnQueueChange();
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
    const auto onEnded = [this] {
      boost::asio::post(this->control,
                        [this] { this->OnServingThreadEnded(); });
    };
    if (!thread->Start(this->settings.Host().Callers(), onEnded, aReason)) {
      return false;
    }
    this->servingThreads.push_back(std::move(thread));
  }
  this->routingLog.Start();
  return true;
}

void
Daemon::Stop()
{
  this->stopBudget = StopBudget(Clock::now(), this->settings.GraceTime());
  this->LogStopStep("readiness_off");
  this->requests.readiness.StartDraining();
  this->peers.AnnounceLeaving();
  boost::asio::co_spawn(
    this->control, this->jobs.Stop(), boost::asio::detached);
  for (const std::unique_ptr<ServingThread>& thread : this->servingThreads) {
    thread->CloseAfterAnswers();
  }
  RunAt(this->stopTimer, this->stopBudget.DrainStart(), [this] {
    this->DrainServing();
  });
  RunAt(this->budgetTimer, this->stopBudget.End(), [this] {
    this->LogStopStep("budget_over");
    for (const std::unique_ptr<ServingThread>& thread : this->servingThreads) {
      thread->Abandon();
    }
    this->End();
  });
}

void
Daemon::DrainServing()
{
  this->LogStopStep("drain");
  for (const std::unique_ptr<ServingThread>& thread : this->servingThreads) {
    thread->Drain(this->stopBudget);
  }
}

void
Daemon::OnServingThreadEnded()
{
  ++this->endedThreads;
  if (this->endedThreads < this->servingThreads.size()) {
    return;
  }
  // The claims of the last requests may still be on their way to the
  // platform's table. The budget's timer bounds this time.
  RunAt(this->stopTimer, Clock::now() + kClaimWriteGrace, [this] {
    this->LogStopStep("done");
    this->End();
  });
}

void
Daemon::LogStopStep(const char* aStep) const
{
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance("daemon"),
                 "planned_stop step="
                   << aStep << " since_ms="
                   << this->stopBudget.Elapsed(Clock::now()).count());
}

void
Daemon::End()
{
  this->peers.Stop();
  this->control.stop();
}

}
