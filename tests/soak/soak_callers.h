#pragma once

#include "tests/soak/soak_job.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace sardinecourse::harness {

class SiteDeployment;

/** Callers that submit jobs, retry after a refusal or without an answer, and
 * cancel some of the accepted jobs, until they are stopped. */
class SoakCallers
{
public:
  SoakCallers(SiteDeployment& aSite, unsigned aSeed);
  ~SoakCallers();
  SoakCallers(const SoakCallers&) = delete;
  SoakCallers& operator=(const SoakCallers&) = delete;

  /** Stops the callers and waits for their threads. */
  void Stop();
  /** All jobs and their outcomes; complete after Stop(). */
  std::vector<SoakJob> Jobs() const;

private:
  void Run(int aCaller);
  SoakJob SubmitJob(const std::string& aKey, std::mt19937& aRandom) const;
  void MaybeCancel(SoakJob& aJob, std::mt19937& aRandom) const;

  SiteDeployment* site;
  unsigned seed;
  std::atomic<bool> isStopping = false;
  mutable std::mutex mutex;
  std::vector<SoakJob> jobs;
  std::vector<std::thread> threads;
};

}
