#include "tests/soak/rehearsal_workers.h"

#include "tests/harness/loopback.h"
#include "tests/harness/relay.h"
#include "tests/harness/relay_thread.h"
#include "tests/harness/site_deployment.h"
#include "tests/model/model_settings.h"
#include "tests/soak/disruption_log.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace sardinecourse::harness {

namespace {

constexpr std::size_t kRelayThreads = 4;

}

RehearsalWorkers::RehearsalWorkers(SiteDeployment& aSite,
                                   const ModelSettings& aSettings,
                                   DisruptionLog& aDisruptions)
  : site(&aSite)
  , settings(&aSettings)
  , disruptions(&aDisruptions)
{
  for (std::size_t thread = 0; thread < kRelayThreads; ++thread) {
    this->threads.push_back(std::make_shared<RelayThread>());
  }
}

RehearsalWorkers::~RehearsalWorkers() = default;

void
RehearsalWorkers::Add(int aCount)
{
  nlohmann::json addresses = nlohmann::json::array();
  for (int added = 0; added < aCount; ++added) {
    Worker worker;
    worker.name = "w-" + std::to_string(this->workers.size());
    worker.link = std::make_unique<Relay>(
      FreeEndpoint(),
      this->site->Site(),
      this->threads[this->workers.size() % this->threads.size()]);
    addresses.push_back(worker.link->Address().Text());
    this->workers.push_back(std::move(worker));
  }
  const Resources& capacity = this->settings->workerCapacity;
  this->site->Control("workers",
                      { { "addresses", std::move(addresses) },
                        { "per_rack", this->settings->workersPerRack },
                        { "speeds", this->settings->runTimeFactors },
                        { "milli_cores", capacity.MilliCores() },
                        { "memory_mb", capacity.MemoryMb() },
                        { "accelerators", capacity.Accelerators() },
                        { "lease_ms", this->settings->workerLease.count() },
                        { "stop_ms", this->settings->stopTime.count() } });
}

std::vector<std::string>
RehearsalWorkers::Select(double aShare, std::mt19937& aRandom) const
{
  std::vector<std::string> names;
  for (const Worker& worker : this->workers) {
    if (worker.isServing) {
      names.push_back(worker.name);
    }
  }
  std::shuffle(names.begin(), names.end(), aRandom);
  const auto count = static_cast<std::size_t>(
    std::ceil(aShare * static_cast<double>(names.size())));
  names.resize(std::min(names.size(), count));
  return names;
}

RehearsalWorkers::Worker&
RehearsalWorkers::Find(const std::string& aWorker)
{
  return *std::find_if(
    this->workers.begin(), this->workers.end(), [&](const Worker& aOther) {
      return aOther.name == aWorker;
    });
}

void
RehearsalWorkers::Drain(const std::string& aWorker, Milliseconds aRemaining)
{
  this->Find(aWorker).isServing = false;
  this->disruptions->Print("drain " + aWorker);
  this->site->Control(
    "leave", { { "worker", aWorker }, { "remaining_ms", aRemaining.count() } });
}

void
RehearsalWorkers::Exit(const std::string& aWorker, bool aIsPlanned)
{
  Worker& worker = this->Find(aWorker);
  worker.isServing = false;
  this->disruptions->Print((aIsPlanned ? "exit " : "crash ") + aWorker);
  worker.link->Set(RelayMode::kClosed);
  this->site->Control("exit",
                      { { "worker", aWorker }, { "planned", aIsPlanned } });
}

void
RehearsalWorkers::Restart(const std::string& aWorker)
{
  Worker& worker = this->Find(aWorker);
  this->disruptions->Print("restart " + aWorker);
  worker.link->Set(RelayMode::kForward);
  worker.isServing = true;
  this->site->Control("restart", { { "worker", aWorker } });
}

void
RehearsalWorkers::Cut(const std::string& aWorker)
{
  Worker& worker = this->Find(aWorker);
  worker.isServing = false;
  this->disruptions->Print("cut " + aWorker);
  worker.link->Set(RelayMode::kBlackhole);
  this->site->Control("reach",
                      { { "worker", aWorker }, { "reachable", false } });
}

void
RehearsalWorkers::Join(const std::string& aWorker)
{
  Worker& worker = this->Find(aWorker);
  this->disruptions->Print("join " + aWorker);
  worker.link->Set(RelayMode::kForward);
  worker.isServing = true;
  this->site->Control("reach",
                      { { "worker", aWorker }, { "reachable", true } });
}

}
