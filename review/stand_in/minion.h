#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

/** What a run of a task does: how long it works, and how it ends. */
struct Work
{
  std::int64_t lengthMs = 1000;
  std::string outcome = "done";
};

using WorkOf = std::function<Work(const std::string& aTask, std::int64_t aRun)>;
/** Receives "start", how a run ended, and with "noted" before it that its end
 * was acknowledged. */
using RunEvent = std::function<void(const std::string& aMinion,
                                    const std::string& aTask,
                                    std::int64_t aRun,
                                    const std::string& aEvent)>;

/** One minion after the platform's page, without gangs and checkpoints. Its
 * clock runs true. Not for several threads. */
class Minion
{
public:
  Minion(std::string aName,
         std::int64_t aBornMs,
         std::int64_t aMaxLeaseMs,
         std::int64_t aStopMs,
         RunEvent aOnRun);

  const std::string& Name() const { return this->name; }
  /** Handles an order other than a look; returns the status. */
  int Order(const std::string& aPath,
            const nlohmann::json& aBody,
            const WorkOf& aWorkOf,
            std::int64_t aNowMs,
            nlohmann::json& aAnswer);
  /** Handles a look: extends the lease and forgets acknowledged ends; returns
   * the status. */
  int Hold(const nlohmann::json& aBody,
           std::int64_t aNowMs,
           nlohmann::json& aAnswer);
  nlohmann::json Report(std::int64_t aNowMs) const;
  bool HasEnds() const { return !this->ends.empty(); }
  std::size_t Running() const { return this->runs.size(); }
  std::size_t RunningOf(const std::string& aJob) const;
  /** While set, starts are answered with this status and not carried out; 0
   * for a healthy minion. */
  void RefuseStarts(int aStatus) { this->startStatus = aStatus; }
  /** Ends what is due. */
  void Advance(std::int64_t aNowMs);

private:
  struct Run
  {
    std::int64_t run = 0;
    std::int64_t startedMs = 0;
    Work work;
    std::int64_t stopAtMs = 0;
  };
  struct End
  {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string outcome;
  };

  std::int64_t ClockMs(std::int64_t aNowMs) const
  {
    return aNowMs - this->bornMs;
  }
  bool IsFenced(const nlohmann::json& aBody);
  void Extend(const nlohmann::json& aBody, std::int64_t aNowMs);
  void EndRun(const std::string& aTask, const std::string& aOutcome);

  std::string name;
  std::int64_t bornMs;
  std::int64_t maxLeaseMs;
  std::int64_t stopMs;
  RunEvent onRun;
  int startStatus = 0;
  std::int64_t token = 0;
  std::int64_t leaseUntilMs = 0;
  std::int64_t lastEnd = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, std::int64_t> pastRuns;
  std::vector<End> ends;
};

}
