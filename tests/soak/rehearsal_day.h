#pragma once

#include "core/instant.h"
#include "tests/soak/rehearsal_options.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace sardinecourse {
struct ModelSettings;
}

namespace sardinecourse::harness {

class DisruptionLog;
class RehearsalHosts;
class RehearsalWorkers;
class SiteDeployment;

/** A day drawn from a seed: series of planned and unplanned work that overlap,
 * some of it at the end of the traffic. */
class RehearsalDay
{
public:
  RehearsalDay(SiteDeployment& aSite,
               RehearsalHosts& aHosts,
               RehearsalWorkers& aWorkers,
               const ModelSettings& aSettings,
               DisruptionLog& aDisruptions,
               RehearsalOptions aOptions,
               Instant aStart);

  /** Does what is due until aUntil. */
  void Run(Instant aUntil);

private:
  struct Work
  {
    Instant at;
    /** Keeps work of the same time in its order. */
    std::int64_t number = 0;
    std::function<void()> execute;
  };
  struct IsLater
  {
    bool operator()(const Work& aLeft, const Work& aRight) const
    {
      return aLeft.at == aRight.at ? aLeft.number > aRight.number
                                   : aLeft.at > aRight.at;
    }
  };

  void At(Milliseconds aTime, std::function<void()> aExecute);
  void After(Milliseconds aTime, std::function<void()> aExecute);
  Milliseconds Draw(std::int64_t aMinMs, std::int64_t aMaxMs);
  bool Chance(double aShare);

  void DrawPlanned();
  void DrawUnplanned();
  void DrawLate();
  void AddLate(const std::string& aKind, Milliseconds aAt);
  void DrawClosing();

  void RollHosts(Milliseconds aAt);
  void ReloadHosts(Milliseconds aAt);
  void ChangeConfiguration(Milliseconds aAt, int aVersions);
  void DrainWorkers(Milliseconds aAt, double aShare);
  /** Workers leave two seconds after they say so. */
  void EvictWorkers(Milliseconds aAt, double aShare);
  void CrashWorkers(Milliseconds aAt, double aShare, bool aIsBack);
  void CutWorkers(Milliseconds aAt, double aShare);
  void KillHolder(Milliseconds aAt);
  void KillHosts(Milliseconds aAt, double aShare);
  void CutStore(Milliseconds aAt, double aShare);
  void SlowStore(Milliseconds aAt);
  void RefuseCalls(Milliseconds aAt);

  SiteDeployment* site;
  RehearsalHosts* hosts;
  RehearsalWorkers* workers;
  const ModelSettings* settings;
  DisruptionLog* disruptions;
  RehearsalOptions options;
  Instant start;
  std::mt19937 random;
  std::int64_t works = 0;
  std::int64_t version = 1000;
  std::priority_queue<Work, std::vector<Work>, IsLater> plan;
};

}
