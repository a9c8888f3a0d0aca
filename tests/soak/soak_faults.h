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

/** Draws faults from a seed and ends each after its time, several at once. */
class SoakFaults
{
public:
  SoakFaults(SiteDeployment& aSite, unsigned aSeed);

  /** Begins faults and ends them until aUntil. */
  void Play(Instant aUntil);
  /** Ends all faults and has every host run. */
  void Heal();

private:
  struct Ending
  {
    Instant at;
    std::function<void()> end;
  };

  void Begin();
  void BeginHostFault();
  void BeginLinkFault();
  void BeginStoreFault();
  void BeginWorkerFault();
  void EndDue(Instant aNow);
  void After(Milliseconds aTime, std::function<void()> aEnd);
  Milliseconds DrawTime(int aLeastMs, int aMaxMs);
  void SetFault(const std::string& aName, const nlohmann::json& aValue);
  void ClearFault(const std::string& aName);
  void Tell(const std::string& aWhat) const;

  SiteDeployment* site;
  std::mt19937 random;
  Instant began;
  std::vector<Ending> endings;
  std::vector<bool> isBusy;
  nlohmann::json faults = nlohmann::json::object();
};

}
