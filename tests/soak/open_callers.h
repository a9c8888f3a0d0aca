#pragma once

#include "core/instant.h"
#include "tests/soak/soak_job.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace sardinecourse {

class Reason;

namespace harness {

class HostPauses;
class HttpClient;
class SiteDeployment;

/** Callers that submit, show and cancel jobs on connections that they keep open
 * to every host, and check each answer against those before it while only
 * planned work goes on. A host that is suspended must answer, once it goes on,
 * what was sent to it meanwhile. */
class OpenCallers
{
public:
  OpenCallers(SiteDeployment& aSite,
              const HostPauses& aPauses,
              int aCallers,
              unsigned aSeed);
  ~OpenCallers();
  OpenCallers(const OpenCallers&) = delete;
  OpenCallers& operator=(const OpenCallers&) = delete;

  /** Stops the callers and waits for their threads. */
  void Stop();
  /** Broken rules so far, a sentence each. */
  std::vector<std::string> Violations() const;
  /** The accepted jobs whose cancellation was not acknowledged: nobody has
   * cancelled them, or it was refused or not answered. */
  std::vector<SoakJob> AcceptedJobs() const;
  std::int64_t Calls() const { return this->calls; }
  /** Calls whose connection ended without an answer. */
  std::int64_t Unanswered() const { return this->unanswered; }

private:
  struct AcceptedJob
  {
    Instant acceptedAt;
    /** kAccepted, kCancelled or kMaybeCancelled. */
    SoakJob::Outcome outcome = SoakJob::Outcome::kAccepted;
  };
  /** The jobs and connections of one caller. */
  struct Caller
  {
    std::string name;
    std::mt19937 random;
    std::vector<std::unique_ptr<HttpClient>> connections;
    std::map<std::string, AcceptedJob> jobs;
    int nextJob = 0;
  };

  void Run(Caller& aCaller);
  void SubmitJob(Caller& aCaller);
  void ShowJob(Caller& aCaller);
  void CancelJob(Caller& aCaller);
  /** Status of the answer, or 0 without one; aBody receives the answer's. */
  int Send(Caller& aCaller,
           const std::string& aMethod,
           const std::string& aPath,
           std::string& aBody);
  /** Checks a call that ended without an answer. */
  void CheckUnanswered(std::size_t aHost,
                       Instant aSentAt,
                       const std::string& aCall,
                       const Reason& aReason);
  /** Checks the time that an answer took. */
  void CheckAnswerTime(std::size_t aHost,
                       Instant aSentAt,
                       const std::string& aCall);
  void AddViolation(const std::string& aViolation);

  SiteDeployment* site;
  const HostPauses* pauses;
  std::atomic<bool> isStopping = false;
  std::atomic<std::int64_t> calls = 0;
  std::atomic<std::int64_t> unanswered = 0;
  mutable std::mutex mutex;
  std::vector<std::string> violations;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
};

}

}
