#include "daemon/caller_thread.h"

#include "contracts/domain_host_settings.h"
#include "scheduling/event_line.h"

namespace sardinecourse {

CallerThread::CallerThread(const DomainHostSettings& aHost,
                           CallerLoad& aLoad,
                           const CurrentCatalog& aCurrentCatalog,
                           DomainMetrics& aMetrics,
                           JobApi::CatalogCallback aOnCatalogRow)
  : callers(aHost.Callers())
  , context(1)
  , work(this->context.get_executor())
  , store(this->context, aHost.Store())
  , jobApi(this->context,
           this->store,
           aCurrentCatalog,
           aMetrics,
           aHost.Timing().RevokeTime(),
           std::move(aOnCatalogRow))
  , ingress(this->jobApi)
  , server(this->context,
           this->ingress,
           aLoad,
           aHost.Limits().ShareOf(aHost.Threads()))
{
  this->jobApi.ChargeTo(aLoad);
  this->jobApi.SetDataCentre(aHost.DataCentre());
  this->jobApi.SetRefusingForBacklog(aHost.Policy().IsRoomShared());
}

CallerThread::~CallerThread()
{
  this->context.stop();
  this->Join();
}

bool
CallerThread::Start(std::function<void()> aOnEnded, Reason& aReason)
{
  if (!this->server.Listen(this->callers, aReason)) {
    return false;
  }
  this->thread = std::thread([this, onEnded = std::move(aOnEnded)] {
    const RcuThread rcuThread;
    this->context.run();
    onEnded();
  });
  return true;
}

void
CallerThread::CloseAfterAnswers(const StopBudget& aBudget)
{
  boost::asio::post(this->context, [this, aBudget] {
    this->server.CloseAfterAnswers();
    this->jobApi.AnswerBy(aBudget.AnswerEnd());
  });
}

void
CallerThread::Drain(const StopBudget& aBudget)
{
  boost::asio::post(this->context, [this, aBudget] {
    const ConnectionCounts open = this->server.OpenConnections();
    EventLine("stop_step")
      .Field("step", "drain")
      .Field("since_ms", aBudget.Elapsed(Clock::now()).count())
      .Field("idle", open.idle)
      .Field("reading", open.reading)
      .Field("answering", open.answering)
      .Emit();
    boost::asio::co_spawn(
      this->context, this->server.Drain(aBudget), boost::asio::detached);
    this->work.reset();
  });
}

void
CallerThread::Abandon()
{
  this->context.stop();
}

void
CallerThread::Join()
{
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

}
