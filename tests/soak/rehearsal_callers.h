#pragma once

#include "tests/harness/http_client.h"
#include "tests/soak/rehearsal_job.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace sardinecourse::harness {

class DisruptionLog;
class LoadBalancer;
class SiteDeployment;
class ViolationLog;

/** Callers that hand in jobs at their times, retry, ask for states, cancel, and
 * judge every answer. */
class RehearsalCallers
{
public:
  RehearsalCallers(SiteDeployment& aSite,
                   const LoadBalancer& aBalancer,
                   const DisruptionLog& aDisruptions,
                   ViolationLog& aViolations,
                   std::vector<RehearsalJob> aJobs,
                   int aCallers,
                   unsigned aSeed,
                   Instant aStart);
  ~RehearsalCallers();
  RehearsalCallers(const RehearsalCallers&) = delete;
  RehearsalCallers& operator=(const RehearsalCallers&) = delete;

  /** Asks for every job that must still be known, and ends the callers. */
  void AskAtEnd();
  void Stop();
  const std::vector<RehearsalJob>& Jobs() const { return this->jobs; }

private:
  enum class Call
  {
    kSubmit,
    kRepeat,
    kShow,
    kCancel,
    kForbid
  };
  struct Action
  {
    Instant at;
    Call call = Call::kSubmit;
    std::size_t job = 0;
  };
  struct IsLater
  {
    bool operator()(const Action& aLeft, const Action& aRight) const
    {
      return aLeft.at > aRight.at;
    }
  };
  /** One thread's connection and what it has to do. */
  struct Caller
  {
    std::mt19937 random;
    std::size_t host = 0;
    /** The last call on the connection got no answer. */
    bool isBroken = true;
    std::unique_ptr<HttpClient> connection;
    std::priority_queue<Action, std::vector<Action>, IsLater> actions;
    std::vector<std::size_t> jobs;
  };

  void Run(Caller& aCaller);
  void Execute(Caller& aCaller, const Action& aAction);
  void Submit(Caller& aCaller, std::size_t aJob);
  void Repeat(Caller& aCaller, std::size_t aJob);
  void Show(Caller& aCaller, std::size_t aJob);
  void Cancel(Caller& aCaller, std::size_t aJob);
  /** Asks until an answer or the deadline; adds a violation without the job. */
  void AskAtEnd(Caller& aCaller, std::size_t aJob);
  void JudgeState(const Caller& aCaller,
                  RehearsalJob& aJob,
                  const std::string& aState);
  /** Sends one request; the deadline counts from now. */
  std::optional<HttpAnswer> Send(Caller& aCaller,
                                 const std::string& aMethod,
                                 const RehearsalJob& aJob,
                                 const std::string& aBody,
                                 Milliseconds aDeadline);
  void JudgeUnanswered(const Caller& aCaller,
                       const std::string& aCall,
                       Instant aSent,
                       Milliseconds aDeadline);
  Milliseconds Draw(Caller& aCaller, int aMinMs, int aMaxMs) const;
  /** The host's and the holder's logs, for records. */
  std::string Logs(std::size_t aHost) const;

  SiteDeployment* site;
  const LoadBalancer* balancer;
  const DisruptionLog* disruptions;
  ViolationLog* violations;
  /** Each job is used by one thread only. */
  std::vector<RehearsalJob> jobs;
  std::atomic<bool> isStopping = false;
  std::atomic<bool> isAtEnd = false;
  std::vector<std::unique_ptr<Caller>> callers;
  std::vector<std::thread> threads;
};

}
