#include "tests/soak/soak_faults.h"

#include "tests/harness/relay.h"
#include "tests/harness/site_deployment.h"

#include <csignal>
#include <iostream>
#include <thread>
#include <utility>

namespace sardinecourse::harness {

namespace {

constexpr Milliseconds kPollInterval{ 20 };
constexpr Milliseconds kMaxStopTime{ 8000 };

}

SoakFaults::SoakFaults(SiteDeployment& aSite, unsigned aSeed)
  : site(&aSite)
  , random(aSeed)
  , evacuationRandom(aSeed)
  , cutRandom(aSeed)
  , startedAt(Clock::now())
  , hasProcessFault(aSite.Hosts(), false)
{
}

void
SoakFaults::Run(Instant aUntil)
{
  std::uniform_int_distribution<int> evacuationPause(1000, 6000);
  Instant next = Clock::now();
  Instant nextEvacuation = next;
  std::uniform_int_distribution<int> cutPause(1000, 5000);
  Instant nextCuts = next;
  while (Clock::now() < aUntil) {
    this->EndDue(Clock::now());
    if (Clock::now() >= next) {
      this->Begin();
      next = Clock::now() + this->DrawTime(100, 1200);
    }
    if (Clock::now() >= nextEvacuation) {
      this->BeginEvacuation();
      nextEvacuation =
        Clock::now() + Milliseconds(evacuationPause(this->evacuationRandom));
    }
    if (Clock::now() >= nextCuts) {
      this->BeginWorkerCuts();
      nextCuts = Clock::now() + Milliseconds(cutPause(this->cutRandom));
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void
SoakFaults::EndAll()
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
  if (this->hasProcessFault[host]) {
    return; // A host has at most one process fault at a time.
  }
  this->hasProcessFault[host] = true;
  const std::string name = " host" + std::to_string(host);
  switch (this->random() % 3) {
    case 0:
      this->Log("kill" + name);
      this->site->Daemon(host).Kill();
      this->EndAfter(this->DrawTime(50, 2500), [this, host] {
        this->site->Start(host);
        this->hasProcessFault[host] = false;
      });
      break;
    case 1:
      this->Log("stop" + name);
      this->site->Daemon(host).Signal(SIGTERM);
      this->EndAfter(this->DrawTime(2500, 4000), [this, host, name] {
        const auto exit = this->site->Daemon(host).WaitForExit(kMaxStopTime);
        this->Log("exit " + std::to_string(exit.value_or(-1)) + name);
        this->site->Start(host);
        this->hasProcessFault[host] = false;
      });
      break;
    default:
      this->Log("freeze" + name);
      this->site->Daemon(host).Signal(SIGSTOP);
      this->EndAfter(this->DrawTime(200, 5000), [this, host] {
        this->site->Daemon(host).Signal(SIGCONT);
        this->hasProcessFault[host] = false;
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
    this->Log("delay" + name);
    link->SetDelay(this->DrawTime(20, 400));
    this->EndAfter(this->DrawTime(500, 4000),
                   [link] { link->SetDelay(Milliseconds(0)); });
    return;
  }
  constexpr RelayMode kModes[] = { RelayMode::kCut,
                                   RelayMode::kBlackhole,
                                   RelayMode::kBlackholeOpen };
  const std::size_t mode = this->random() % 3;
  this->Log((mode == 0 ? "cut" : "silence") + name);
  link->Set(kModes[mode]);
  this->EndAfter(this->DrawTime(300, 5000),
                 [link] { link->Set(RelayMode::kForward); });
}

void
SoakFaults::BeginStoreFault()
{
  switch (this->random() % 4) {
    case 0:
      this->Log("store refuses");
      this->SetFault("store", "refuse");
      this->EndAfter(this->DrawTime(300, 4000),
                     [this] { this->ClearFault("store"); });
      break;
    case 1:
      this->Log("store hangs");
      this->SetFault("store", "hang");
      this->EndAfter(this->DrawTime(300, 4000),
                     [this] { this->ClearFault("store"); });
      break;
    case 2:
      this->Log("store loses answers to commits");
      this->SetFault("lose_commits", 1 + this->random() % 4);
      break;
    default:
      this->Log("store drops its history");
      this->site->Control("compact", {});
      break;
  }
}

void
SoakFaults::BeginWorkerFault()
{
  const nlohmann::json report = this->site->Control("report", {});
  if (!report.is_object() || report["workers"].empty()) {
    this->Log("the stand-in does not answer");
    return;
  }
  const nlohmann::json& workers = report["workers"];
  const std::string worker = workers[this->random() % workers.size()];
  switch (this->random() % 4) {
    case 0:
      this->Log("restart " + worker);
      this->site->Control("restart", { { "worker", worker } });
      break;
    case 1:
      this->Log("replace " + worker);
      this->site->Control("replace", { { "worker", worker } });
      break;
    case 2:
      this->Log("silence " + worker);
      this->SetFault("silent", worker);
      this->EndAfter(this->DrawTime(300, 4000),
                     [this] { this->ClearFault("silent"); });
      break;
    default:
      this->Log("answers to orders get lost");
      this->SetFault("lose_orders", 1 + this->random() % 3);
      break;
  }
}

void
SoakFaults::BeginEvacuation()
{
  std::uniform_int_distribution<int> time(500, 9000);
  const std::string dataCentre =
    "zone-" + std::to_string(this->evacuationRandom() % 2);
  this->Log("evacuate " + dataCentre);
  this->site->Control(
    "evacuate",
    { { "data_centre", dataCentre }, { "bound_ms", kEvacuateTime.count() } });
  this->EndAfter(
    Milliseconds(time(this->evacuationRandom)), [this, dataCentre] {
      this->Log("take back " + dataCentre);
      this->site->Control("take_back", { { "data_centre", dataCentre } });
    });
}

void
SoakFaults::CutWorker(const std::string& aWorker, bool aIsCut)
{
  this->Log((aIsCut ? "cut off " : "reach ") + aWorker);
  this->site->Control("cut", { { "worker", aWorker }, { "is_cut", aIsCut } });
}

void
SoakFaults::BeginWorkerCuts()
{
  const nlohmann::json report = this->site->Control("report", {});
  if (!report.is_object() || report["workers"].empty()) {
    return;
  }
  const nlohmann::json& workers = report["workers"];
  const std::string worker = workers[this->cutRandom() % workers.size()];
  const auto draw = [this](int aMinMs, int aMaxMs) {
    std::uniform_int_distribution<int> time(aMinMs, aMaxMs);
    return Milliseconds(time(this->cutRandom));
  };
  this->CutWorker(worker, true);
  Milliseconds at = draw(50, 700);
  this->EndAfter(at, [this, worker] {
    this->Log("restart " + worker);
    this->site->Control("restart", { { "worker", worker } });
  });
  at += draw(100, 900);
  this->EndAfter(at, [this, worker] { this->CutWorker(worker, false); });
  at += draw(100, 1500);
  this->EndAfter(at, [this, worker] { this->CutWorker(worker, true); });
  at += draw(1000, 9000);
  this->EndAfter(at, [this, worker] { this->CutWorker(worker, false); });
}

void
SoakFaults::EndDue(Instant aNow)
{
  std::vector<FaultEnd> due;
  std::vector<FaultEnd> later;
  for (FaultEnd& faultEnd : this->faultEnds) {
    (faultEnd.at <= aNow ? due : later).push_back(std::move(faultEnd));
  }
  this->faultEnds = std::move(later);
  for (const FaultEnd& faultEnd : due) {
    faultEnd.end();
  }
}

void
SoakFaults::EndAfter(Milliseconds aTime, std::function<void()> aEnd)
{
  this->faultEnds.push_back({ Clock::now() + aTime, std::move(aEnd) });
}

Milliseconds
SoakFaults::DrawTime(int aMinMs, int aMaxMs)
{
  std::uniform_int_distribution<int> time(aMinMs, aMaxMs);
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
SoakFaults::Log(const std::string& aEvent) const
{
  const auto at =
    std::chrono::duration_cast<Milliseconds>(Clock::now() - this->startedAt);
  std::cerr << at.count() << " ms: " << aEvent << '\n';
}

}
