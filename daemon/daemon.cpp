#include "daemon/daemon.h"

#include "core/rcu_thread.h"
#include "core/reason.h"
#include "daemon/serving_thread.h"
#include "machines/minion_slot.h"
#include "zones/fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <utility>

namespace sardinecourse {

Daemon::Daemon(HostSettings aSettings)
  : settings(std::move(aSettings))
  , control(1)
  , minions(std::make_unique<const MinionTable>())
{
}

Daemon::~Daemon() = default;

bool
Daemon::Run(Reason& aReason)
{
  const RcuThread rcuThread;
  if (!this->StartServing(aReason)) {
    return false;
  }
  boost::asio::signal_set signals(this->control, SIGTERM, SIGINT);
  signals.async_wait([this](const boost::system::error_code& aError, int) {
    if (!aError) {
      this->Stop();
    }
  });
  this->control.run();
  for (const std::unique_ptr<ServingThread>& thread : this->serving) {
    thread->Join();
  }
  return true;
}

void
Daemon::Adopt(const Fleet& aFleet)
{
  MinionTable::Slots slots;
  for (const DataCentre& dataCentre : aFleet.DataCentres()) {
    if (dataCentre.Name() != this->settings.Host().DataCentre()) {
      continue;
    }
    for (const Minion& minion : dataCentre.Minions()) {
      slots.push_back(std::make_shared<MinionSlot>(minion));
    }
  }
  this->minions.Publish(std::make_unique<const MinionTable>(slots));
}

bool
Daemon::StartServing(Reason& aReason)
{
  for (std::int32_t count = 0; count < this->settings.Threads(); ++count) {
    auto thread = std::make_unique<ServingThread>(this->minions);
    if (!thread->Start(this->settings.Host().Callers(), aReason)) {
      return false;
    }
    this->serving.push_back(std::move(thread));
  }
  return true;
}

void
Daemon::Stop()
{
  LOG4CPLUS_INFO(log4cplus::Logger::getInstance("daemon"), "planned stop");
  for (const std::unique_ptr<ServingThread>& thread : this->serving) {
    thread->Drain();
  }
}

}
