#pragma once

#include "core/instant.h"

#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace sardinecourse::harness {

class SiteDeployment;

/** Injects faults drawn from a seed and ends each after a drawn time. Several
 * can be active at once. */
class SoakFaults
{
public:
  /** Bound of the hosts' settings for an evacuation. */
  static constexpr Milliseconds kEvacuateTime{ 5000 };

  SoakFaults(SiteDeployment& aSite, unsigned aSeed);

  /** Begins and ends faults until aUntil; some may still be active then. */
  void Run(Instant aUntil);
  /** Ends all active faults; every host's daemon runs afterwards. */
  void EndAll();

private:
  struct FaultEnd
  {
    Instant at;
    std::function<void()> end;
  };

  void Begin();
  void BeginHostFault();
  void BeginLinkFault();
  void BeginStoreFault();
  void BeginWorkerFault();
  void BeginEvacuation();
  /** A worker is cut off, restarts behind the cut, and is cut off again. */
  void BeginWorkerCuts();
  void CutWorker(const std::string& aWorker, bool aIsCut);
  void EndDue(Instant aNow);
  void EndAfter(Milliseconds aTime, std::function<void()> aEnd);
  Milliseconds DrawTime(int aMinMs, int aMaxMs);
  void SetFault(const std::string& aName, const nlohmann::json& aValue);
  void ClearFault(const std::string& aName);
  void Log(const std::string& aEvent) const;

  SiteDeployment* site;
  std::mt19937 random;
  /** Evacuations are drawn apart, so that a seed's other faults stay the same.
   */
  std::mt19937 evacuationRandom;
  /** The same for the cuts of workers. */
  std::mt19937 cutRandom;
  Instant startedAt;
  std::vector<FaultEnd> faultEnds;
  std::vector<bool> hasProcessFault;
  nlohmann::json faults = nlohmann::json::object();
};

}
