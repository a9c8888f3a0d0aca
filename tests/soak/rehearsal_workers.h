#pragma once

#include "core/instant.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sardinecourse {
struct ModelSettings;
}

namespace sardinecourse::harness {

class DisruptionLog;
class Relay;
class RelayThread;
class SiteDeployment;

/** The workers of a rehearsal, each behind a relay of its own. */
class RehearsalWorkers
{
public:
  RehearsalWorkers(SiteDeployment& aSite,
                   const ModelSettings& aSettings,
                   DisruptionLog& aDisruptions);
  ~RehearsalWorkers();

  /** Adds new workers. */
  void Add(int aCount);
  /** Names of aShare of the workers that serve, at least one. */
  std::vector<std::string> Select(double aShare, std::mt19937& aRandom) const;

  /** The worker says that it leaves, and serves on. */
  void Drain(const std::string& aWorker, Milliseconds aRemaining);
  /** Its process ends and does not come back. */
  void Exit(const std::string& aWorker, bool aIsPlanned);
  /** Starts again under its name after a crash. */
  void Restart(const std::string& aWorker);
  /** No host reaches it any more, while its runs go on. */
  void Cut(const std::string& aWorker);
  void Join(const std::string& aWorker);

private:
  struct Worker
  {
    std::string name;
    bool isServing = true;
    std::unique_ptr<Relay> link;
  };

  Worker& Find(const std::string& aWorker);

  SiteDeployment* site;
  const ModelSettings* settings;
  DisruptionLog* disruptions;
  std::vector<std::shared_ptr<RelayThread>> threads;
  std::vector<Worker> workers;
};

}
