#include "tests/soak/soak_faults.h"

#include "tests/harness/relay.h"
#include "tests/harness/site_deployment.h"

#include <csignal>
#include <iostream>
#include <thread>
#include <utility>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kTurn{ 20 };
constexpr Milliseconds kStopBound{ 8000 };

}

SoakFaults::SoakFaults(SiteDeployment& aSite, unsigned aSeed)
  : site(&aSite)
  , random(aSeed)
  , began(Clock::now())
  , isBusy(aSite.Hosts(), false)
{
}

void
SoakFaults::Play(Instant aUntil)
{
  Instant next = Clock::now();
  while (Clock::now() < aUntil) {
    this->EndDue(Clock::now());
    if (Clock::now() >= next) {
      this->Begin();
      next = Clock::now() + this->DrawTime(100, 1200);
    }
    std::this_thread::sleep_for(kTurn);
  }
}

void
SoakFaults::Heal()
{
  this->EndDue(Instant::max());
  this->faults = nlohmann::json::object();
  this->site->Control("faults", this->faults);
}

void
SoakFaults::Begin()
{
  switch (this->random() % 8) {
    case 0:
    case 1:
    case 2:
      this->BeginHostFault();
      break;
    case 3:
    case 4:
      this->BeginLinkFault();
      break;
    case 5:
      this->BeginStoreFault();
      break;
    default:
      this->BeginWorkerFault();
      break;
  }
}

void
SoakFaults::BeginHostFault()
{
  const std::size_t host = this->random() % this->site->Hosts();
  if (this->isBusy[host]) {
    return; // One process fault at a time on a host.
  }
  this->isBusy[host] = true;
  const std::string name = " host" + std::to_string(host);
  switch (this->random() % 3) {
    case 0:
      this->Tell("kill" + name);
      this->site->Daemon(host).Kill();
      this->After(this->DrawTime(50, 2500), [this, host] {
        this->site->Start(host);
        this->isBusy[host] = false;
      });
      break;
    case 1:
      this->Tell("stop" + name);
      this->site->Daemon(host).Signal(SIGTERM);
      this->After(this->DrawTime(2500, 4000), [this, host, name] {
        const auto exit = this->site->Daemon(host).WaitForExit(kStopBound);
        this->Tell("exit " + std::to_string(exit.value_or(-1)) + name);
        this->site->Start(host);
        this->isBusy[host] = false;
      });
      break;
    default:
      this->Tell("freeze" + name);
      this->site->Daemon(host).Signal(SIGSTOP);
      this->After(this->DrawTime(200, 5000), [this, host] {
        this->site->Daemon(host).Signal(SIGCONT);
        this->isBusy[host] = false;
      });
      break;
  }
}

void
SoakFaults::BeginLinkFault()
{
  const std::size_t host = this->random() % this->site->Hosts();
  Relay* const link = &this->site->StoreLink(host);
  const std::string name = " store link of host" + std::to_string(host);
  if (this->random() % 4 == 0) {
    this->Tell("delay" + name);
    link->Delay(this->DrawTime(20, 400));
    this->After(this->DrawTime(500, 4000),
                [link] { link->Delay(Milliseconds(0)); });
    return;
  }
  constexpr RelayMode kModes[] = { RelayMode::kCut,
                                   RelayMode::kSilent,
                                   RelayMode::kSilentOld };
  const std::size_t mode = this->random() % 3;
  this->Tell((mode == 0 ? "cut" : "silence") + name);
  link->Set(kModes[mode]);
  this->After(this->DrawTime(300, 5000),
              [link] { link->Set(RelayMode::kPass); });
}

void
SoakFaults::BeginStoreFault()
{
  switch (this->random() % 4) {
    case 0:
      this->Tell("store refuses");
      this->SetFault("store", "refuse");
      this->After(this->DrawTime(300, 4000),
                  [this] { this->ClearFault("store"); });
      break;
    case 1:
      this->Tell("store hangs");
      this->SetFault("store", "hang");
      this->After(this->DrawTime(300, 4000),
                  [this] { this->ClearFault("store"); });
      break;
    case 2:
      this->Tell("store loses answers");
      this->SetFault("lose_commits", 1 + this->random() % 4);
      break;
    default:
      this->Tell("store drops its history");
      this->site->Control("compact", {});
      break;
  }
}

void
SoakFaults::BeginWorkerFault()
{
  const nlohmann::json report = this->site->Control("report", {});
  if (!report.is_object() || report["workers"].empty()) {
    this->Tell("the stand-in does not answer");
    return;
  }
  const nlohmann::json& workers = report["workers"];
  const std::string worker = workers[this->random() % workers.size()];
  switch (this->random() % 4) {
    case 0:
      this->Tell("restart " + worker);
      this->site->Control("restart", { { "worker", worker } });
      break;
    case 1:
      this->Tell("replace " + worker);
      this->site->Control("replace", { { "worker", worker } });
      break;
    case 2:
      this->Tell("silence " + worker);
      this->SetFault("silent", worker);
      this->After(this->DrawTime(300, 4000),
                  [this] { this->ClearFault("silent"); });
      break;
    default:
      this->Tell("orders get lost");
      this->SetFault("lose_orders", 1 + this->random() % 3);
      break;
  }
}

void
SoakFaults::EndDue(Instant aNow)
{
  std::vector<Ending> due;
  std::vector<Ending> later;
  for (Ending& ending : this->endings) {
    (ending.at <= aNow ? due : later).push_back(std::move(ending));
  }
  this->endings = std::move(later);
  for (const Ending& ending : due) {
    ending.end();
  }
}

void
SoakFaults::After(Milliseconds aTime, std::function<void()> aEnd)
{
  this->endings.push_back({ Clock::now() + aTime, std::move(aEnd) });
}

Milliseconds
SoakFaults::DrawTime(int aLeastMs, int aMaxMs)
{
  std::uniform_int_distribution<int> time(aLeastMs, aMaxMs);
  return Milliseconds(time(this->random));
}

void
SoakFaults::SetFault(const std::string& aName, const nlohmann::json& aValue)
{
  this->faults[aName] = aValue;
  this->site->Control("faults", this->faults);
}

void
SoakFaults::ClearFault(const std::string& aName)
{
  this->faults.erase(aName);
  this->site->Control("faults", this->faults);
}

void
SoakFaults::Tell(const std::string& aWhat) const
{
  const auto at =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - this->began);
  std::cerr << at.count() << " ms: " << aWhat << '\n';
}

}
