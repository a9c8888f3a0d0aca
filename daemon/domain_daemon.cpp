#include "daemon/domain_daemon.h"

#include "core/rcu_thread.h"
#include "core/reason.h"
#include "daemon/caller_thread.h"
#include "scheduling/event_line.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <csignal>
#include <utility>

namespace sardinecourse {

namespace {

/** The balancer probes every second and removes a host after two failed
 * probes. */
constexpr Milliseconds kReadinessGrace{ 2200 };
/** A host whose catalog was last confirmed longer ago cannot reach the store,
 * so the balancer should send callers to other hosts. */
constexpr Milliseconds kMaxReadyConfirmationAge{ 2400 };

}

DomainDaemon::DomainDaemon(DomainHostSettings aHost, std::string aProcess)
  : host(std::move(aHost))
  , control(1)
  , work(this->control.get_executor())
  , stopSignals(this->control, SIGTERM, SIGINT)
  , reloadSignals(this->control, SIGHUP)
  , store(this->control, this->host.Store())
  , workers(this->control)
  , catalogWatcher(this->control,
                   this->store,
                   this->catalog,
                   [this](const ServiceCatalog& aCatalog) {
                     if (this->holder) {
                       this->holder->Adopt(aCatalog);
                     }
                   })
  , metricsHandler(this->metrics)
  , metricsServer(this->control, this->metricsHandler)
  , readiness([this] { return this->IsReady(); })
  , readinessServer(this->control, this->readiness)
  , lease(this->host,
          std::move(aProcess),
          LeaseThread::Loop::Listener{
            [this](std::int64_t aTerm, std::int64_t aTermRevision) {
              boost::asio::post(this->control, [this, aTerm, aTermRevision] {
                this->OnDomainGained(aTerm, aTermRevision);
              });
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
      this->host, this->catalog, this->metrics, onCatalogRow);
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

/** Releases the domain's lease first, so that another host takes over while
 * this one finishes its calls. */
boost::asio::awaitable<void>
DomainDaemon::Stop()
{
  this->stopRequested = Clock::now();
  EventLine("stopping").Field("host", this->host.Name().Text()).Emit();
  this->isDraining = true;
  for (const std::unique_ptr<CallerThread>& thread : this->servingThreads) {
    thread->CloseAfterAnswers();
  }
  co_await this->lease.Release();
  this->LogStopStep("released");
  co_await Pause(this->control, kReadinessGrace);
  this->LogStopStep("readiness_grace_over");
  for (const std::unique_ptr<CallerThread>& thread : this->servingThreads) {
    thread->Drain(this->stopRequested);
  }
}

void
DomainDaemon::LogStopStep(const char* aStep) const
{
  const auto elapsed = std::chrono::duration_cast<Milliseconds>(
    Clock::now() - this->stopRequested);
  EventLine("stop_step")
    .Field("step", aStep)
    .Field("since_ms", elapsed.count())
    .Emit();
}

void
DomainDaemon::OnServingThreadEnded()
{
  ++this->endedThreads;
  this->LogStopStep("thread_ended");
  if (this->endedThreads == this->servingThreads.size()) {
    this->control.stop();
  }
}

bool
DomainDaemon::IsReady() const
{
  return !this->isDraining && this->catalog.Read()->Version() > 0 &&
         this->catalog.ConfirmationAge(Clock::now()) < kMaxReadyConfirmationAge;
}

void
DomainDaemon::OnDomainGained(std::int64_t aTerm, std::int64_t aTermRevision)
{
  const Holder::Callbacks callbacks{
    [this] { return this->lease.ExclusiveUntil(); },
    [this, aTerm] { this->lease.Deposed(aTerm); },
    &this->metrics
  };
  this->metrics.Count(DomainMetrics::Event::kTakeover);
  this->holder = std::make_shared<Holder>(this->control,
                                          this->store,
                                          this->workers,
                                          this->host.Timing(),
                                          this->host.Policy(),
                                          aTerm,
                                          aTermRevision,
                                          callbacks);
  // Copied, because a read section must not stay open while the holder starts.
  const ServiceCatalog catalog = *this->catalog.Read();
  this->holder->Start(catalog);
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
