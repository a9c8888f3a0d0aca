#pragma once

#include "tests/policy/arrival.h"
#include "tests/zones/sample_values.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace sardinecourse {

/** A data centre and the load that is submitted to it. */
struct Scenario
{
  std::string name;
  std::int32_t racks = 2;
  std::int32_t workersPerRack = 6;
  /** Members of the largest gangs, of 8 accelerators each. */
  std::int32_t largestGang = 6;
  std::vector<Team> teams;
  /** Requested accelerator time as a share of the data centre's capacity. */
  double offeredLoad = 0.85;
};

constexpr std::int32_t kAcceleratorsPerWorker = 8;
constexpr Instant kStreamStart{ std::chrono::hours(1000) };
constexpr std::chrono::hours kStreamLength{ 48 };

/** Generates a random stream of jobs: half of the accelerator time in gangs of
 * whole workers, half in small jobs, and a third of the jobs of either kind in
 * bursts. */
class ArrivalStream
{
public:
  ArrivalStream(const Scenario& aScenario, unsigned aSeed)
    : scenario(aScenario)
    , random(aSeed)
  {
  }

  std::vector<Arrival> Draw()
  {
    const double capacity = static_cast<double>(this->scenario.racks) *
                            this->scenario.workersPerRack *
                            kAcceleratorsPerWorker * Hours(kStreamLength);
    const double requested = capacity * this->scenario.offeredLoad;
    for (double drawn = 0; drawn < requested / 2;) {
      drawn += this->DrawGroup(40, false);
    }
    for (double drawn = 0; drawn < requested / 2;) {
      drawn += this->DrawGroup(3, true);
    }
    std::ranges::sort(this->arrivals, {}, &Arrival::at);
    return this->arrivals;
  }

private:
  static double Hours(Milliseconds aTime)
  {
    return std::chrono::duration<double, std::ratio<3600>>(aTime).count();
  }

  Instant DrawTime()
  {
    std::uniform_int_distribution<std::int64_t> time(
      0, std::chrono::duration_cast<Milliseconds>(kStreamLength).count());
    return kStreamStart + Milliseconds(time(this->random));
  }

  /** Draws a single job or, with probability 0.5 / aBurst, a burst of aBurst
   * jobs. Returns their accelerator hours. */
  double DrawGroup(int aBurst, bool aLarge)
  {
    // With this share of bursts, a third of the jobs arrive in bursts.
    const bool isBurst =
      std::bernoulli_distribution(0.5 / aBurst)(this->random);
    const Instant at = this->DrawTime();
    double hours = 0;
    for (int job = 0; job < (isBurst ? aBurst : 1); ++job) {
      hours += this->DrawJob(at + std::chrono::seconds(job), aLarge);
    }
    return hours;
  }

  double DrawJob(Instant aAt, bool aLarge)
  {
    const auto pick = [this](std::int32_t aMax) {
      return std::uniform_int_distribution<std::int32_t>(0, aMax - 1)(
        this->random);
    };
    const Team& team =
      this->scenario
        .teams[pick(static_cast<std::int32_t>(this->scenario.teams.size()))];
    const std::int32_t largest = this->scenario.largestGang;
    const std::int32_t large[] = { largest / 2, largest * 2 / 3, largest };
    const Shape shape =
      aLarge ? MakeShape(large[pick(3)], 8) : MakeShape(1, 1 << pick(3));
    const double medianHours = aLarge ? 1.0 : 0.25;
    const double runHours =
      std::min(8.0,
               std::lognormal_distribution<double>(std::log(medianHours),
                                                   0.6)(this->random));
    // Declared run times differ from the true ones by a factor of up to ten in
    // either direction.
    const double declared =
      runHours *
      std::pow(10.0,
               std::uniform_real_distribution<double>(-1, 1)(this->random));
    Arrival arrival;
    arrival.at = aAt;
    arrival.trueRunTime = FromHours(runHours);
    if (pick(20) == 0) {
      arrival.cancelledAt = aAt + std::chrono::minutes(pick(60));
    }
    arrival.job = BuildValid(
      JobBuilder()
        .Team(team.Name())
        .Service(ServiceName(aLarge ? "renders" : "previews"))
        .Key(JobKey("job-" + std::to_string(this->arrivals.size())))
        .GangShape(pick(200) == 0 ? MakeShape(largest * 4, 8) : shape)
        .DeclaredRunTime(FromHours(declared))
        .Urgent(!aLarge && pick(50) == 0));
    this->arrivals.push_back(arrival);
    return runHours * shape.Members() * shape.AcceleratorsPerMember();
  }

  static Milliseconds FromHours(double aHours)
  {
    return Milliseconds(static_cast<std::int64_t>(aHours * 3'600'000));
  }

  const Scenario& scenario;
  std::mt19937 random;
  std::vector<Arrival> arrivals;
};

}
