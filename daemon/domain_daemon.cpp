#include "daemon/domain_daemon.h"

#include "core/rcu_thread.h"
#include "core/reason.h"
#include "daemon/caller_thread.h"
#include "links/when_all.h"
#include "scheduling/event_line.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

namespace sardinecourse {

namespace {

/** A host whose catalog was last confirmed longer ago cannot reach the store,
 * so the balancer should send callers to other hosts. */
constexpr Milliseconds kMaxReadyConfirmationAge{ 2400 };
/** Part of the callers' limits that the readiness and the metrics address have
 * each, as the inverse. */
constexpr std::int64_t kProbeShare = 16;

void
LogRefusals(const CallerLoadWatch::Counts& aCounts)
{
  EventLine line("callers_refused");
  for (std::size_t cause = 0; cause < kCallerRefusals; ++cause) {
    if (aCounts.at(cause) > 0) {
      line.Field(kCallerRefusalNames.at(cause),
                 static_cast<std::int64_t>(aCounts.at(cause)));
    }
  }
  line.Emit();
}

}

DomainDaemon::DomainDaemon(DomainHostSettings aHost, std::string aProcess)
  : host(std::move(aHost))
  , control(1)
  , work(this->control.get_executor())
  , stopSignals(this->control, SIGTERM, SIGINT)
  , reloadSignals(this->control, SIGHUP)
  , store(this->control, this->host.Store())
  , workers(this->control)
  , catalogWatcher(
      this->control,
      this->store,
      this->catalog,
      [this](const ServiceCatalog& aCatalog) {
        if (this->holder) {
          this->holder->Adopt(aCatalog);
        }
      },
      [this](const EvacuationView& aEvacuations) {
        this->metrics.SetClosedDataCentres(aEvacuations.Closed().size());
        if (this->holder) {
          this->holder->Adopt(aEvacuations);
        }
      })
  , callerLoad(this->host.Limits())
  , callerLoadWatch(this->control, this->callerLoad, &LogRefusals)
  , metricsHandler(this->metrics, this->callerLoad)
  , metricsServer(this->control,
                  this->metricsHandler,
                  this->callerLoad,
                  this->host.Limits().ShareOf(kProbeShare))
  , readiness([this] { return this->IsReady(); })
  , readinessServer(this->control,
                    this->readiness,
                    this->callerLoad,
                    this->host.Limits().ShareOf(kProbeShare))
  , lease(this->host,
          std::move(aProcess),
          LeaseThread::Loop::Listener{
            [this](const DomainGain& aGain) {
              boost::asio::post(this->control,
                                [this, aGain] { this->OnDomainGained(aGain); });
            },
            [this] {
              boost::asio::post(this->control,
                                [this] { this->OnDomainLost(); });
            } })
{
}

DomainDaemon::~DomainDaemon() = default;

bool
DomainDaemon::Run(Reason& aReason)
{
  const RcuThread rcuThread;
  if (!this->readinessServer.Listen(this->host.Readiness(), aReason) ||
      !this->metricsServer.Listen(this->host.Metrics(), aReason) ||
      !this->StartServing(aReason)) {
    return false;
  }
  EventLine("started")
    .Field("host", this->host.Name().Text())
    .Field("data_centre", this->host.DataCentre().Text())
    .Emit();
  this->AwaitStop();
  this->AwaitReload();
  boost::asio::co_spawn(
    this->control, this->catalogWatcher.Run(), boost::asio::detached);
  boost::asio::co_spawn(
    this->control, this->callerLoadWatch.Run(), boost::asio::detached);
  this->lease.Start();
  this->control.run();
  this->lease.Stop();
  for (const std::unique_ptr<CallerThread>& thread : this->servingThreads) {
    thread->Join();
  }
  this->LogStopStep("threads_joined");
  EventLine("stopped").Field("host", this->host.Name().Text()).Emit();
  return true;
}

bool
DomainDaemon::StartServing(Reason& aReason)
{
  const auto onCatalogRow = [this](const TableRow& aRow) {
    boost::asio::post(
      this->control, [this, aRow] { this->catalogWatcher.AdoptIfNewer(aRow); });
  };
  const auto onEnded = [this] {
    boost::asio::post(this->control, [this] { this->OnServingThreadEnded(); });
  };
  for (std::int32_t count = 0; count < this->host.Threads(); ++count) {
    auto thread = std::make_unique<CallerThread>(
      this->host, this->callerLoad, this->catalog, this->metrics, onCatalogRow);
    if (!thread->Start(onEnded, aReason)) {
      return false;
    }
    this->servingThreads.push_back(std::move(thread));
  }
  return true;
}

void
DomainDaemon::AwaitStop()
{
  this->stopSignals.async_wait([this](const boost::system::error_code& aError,
                                      int) {
    if (!aError) {
      boost::asio::co_spawn(this->control, this->Stop(), boost::asio::detached);
    }
  });
}

void
DomainDaemon::AwaitReload()
{
  this->reloadSignals.async_wait(
    [this](const boost::system::error_code& aError, int) {
      if (!aError) {
        // Everything that can change while a host runs is read from the store.
        EventLine("reload").Field("changed", "nothing").Emit();
        this->AwaitReload();
      }
    });
}

boost::asio::awaitable<void>
DomainDaemon::Stop()
{
  this->stopBudget = StopBudget(Clock::now(), this->host.GraceTime());
  EventLine("stopping").Field("host", this->host.Name().Text()).Emit();
  this->isDraining = true;
  for (const std::unique_ptr<CallerThread>& thread : this->servingThreads) {
    thread->CloseAfterAnswers(this->stopBudget);
  }
  boost::asio::co_spawn(
    this->control, this->ReleaseLease(), boost::asio::detached);
  boost::asio::co_spawn(
    this->control, this->EndWithBudget(), boost::asio::detached);
  const Milliseconds grace = std::chrono::ceil<Milliseconds>(
    this->stopBudget.DrainStart() - Clock::now());
  co_await Pause(this->control, grace);
  this->LogStopStep("readiness_grace_over");
  for (const std::unique_ptr<CallerThread>& thread : this->servingThreads) {
    thread->Drain(this->stopBudget);
  }
}

/** Another host takes over while this one finishes its calls. */
boost::asio::awaitable<void>
DomainDaemon::ReleaseLease()
{
  co_await this->lease.Release();
  this->isLeaseReleased = true;
  this->LogStopStep("released");
  this->EndIfDone();
}

/** Ends the control loop, and thereby the process, with steps that are not
 * done. */
boost::asio::awaitable<void>
DomainDaemon::EndWithBudget()
{
  const Milliseconds left = this->stopBudget.TimeLeft(Clock::now());
  co_await Pause(this->control, left);
  this->LogStopStep("budget_over");
  for (const std::unique_ptr<CallerThread>& thread : this->servingThreads) {
    thread->Abandon();
  }
  this->control.stop();
}

void
DomainDaemon::LogStopStep(const char* aStep) const
{
  EventLine("stop_step")
    .Field("step", aStep)
    .Field("since_ms", this->stopBudget.Elapsed(Clock::now()).count())
    .Emit();
}

void
DomainDaemon::OnServingThreadEnded()
{
  ++this->endedThreads;
  this->LogStopStep("thread_ended");
  this->EndIfDone();
}

void
DomainDaemon::EndIfDone()
{
  if (this->isLeaseReleased &&
      this->endedThreads == this->servingThreads.size()) {
    boost::asio::co_spawn(
      this->control, this->EndControl(), boost::asio::detached);
  }
}

boost::asio::awaitable<void>
DomainDaemon::EndControl()
{
  std::vector<boost::asio::awaitable<void>> drains;
  drains.push_back(this->readinessServer.Drain(this->stopBudget));
  drains.push_back(this->metricsServer.Drain(this->stopBudget));
  co_await WhenAll(this->control, std::move(drains));
  this->control.stop();
}

bool
DomainDaemon::IsReady() const
{
  return !this->isDraining && this->catalog.Read()->Version() > 0 &&
         this->catalog.ConfirmationAge(Clock::now()) < kMaxReadyConfirmationAge;
}

void
DomainDaemon::OnDomainGained(const DomainGain& aGain)
{
  const Holder::Callbacks callbacks{
    [this] { return this->lease.ExclusiveUntil(); },
    [this, term = aGain.term] { this->lease.Deposed(term); },
    &this->metrics
  };
  this->metrics.Count(DomainMetrics::Event::kTakeover);
  this->holder = std::make_shared<Holder>(this->control,
                                          this->store,
                                          this->workers,
                                          this->host.Timing(),
                                          this->host.Policy(),
                                          aGain,
                                          callbacks);
  // Copied, because a read section must not stay open while the holder starts.
  const ServiceCatalog catalog = *this->catalog.Read();
  this->holder->Start(catalog, this->catalogWatcher.Evacuations());
}

void
DomainDaemon::OnDomainLost()
{
  if (this->holder) {
    this->metrics.Count(DomainMetrics::Event::kDomainLost);
    this->holder->Stop();
    this->holder.reset();
  }
}

}
