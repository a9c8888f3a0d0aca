#include "zones/fairness/service_history.h"

#include <cmath>

namespace sardinecourse {

namespace {

/** Time in which the weight of past work falls to half: callers compare what
 * they get within minutes. */
constexpr std::chrono::duration<double> kHalfLife{ 60.0 };
/** Decay is applied in steps of this time, since it visits all records. */
constexpr Milliseconds kDecayInterval{ 1000 };
/** A record with less work, in core-seconds, is dropped. */
constexpr double kNegligibleWork = 0.1;

void
Note(ServiceRecord& aRecord, double aWork, bool aIsInTime)
{
  aRecord.due += aWork;
  aRecord.inTime += aIsInTime ? aWork : 0.0;
}

template<typename Records>
void
Scale(Records& aRecords, double aFactor)
{
  for (auto& [key, record] : aRecords) {
    record.due *= aFactor;
    record.inTime *= aFactor;
  }
  std::erase_if(aRecords, [](const auto& aEntry) {
    return aEntry.second.due < kNegligibleWork;
  });
}

}

void
ServiceHistory::Add(std::int32_t aPriority,
                    const TeamName& aTeam,
                    const DataCentreName& aDataCentre,
                    double aWork,
                    bool aIsInTime,
                    Instant aNow)
{
  this->Decay(aNow);
  Note(this->teams[{ aPriority, aTeam }], aWork, aIsInTime);
  // Hosts of earlier versions admit jobs without a data centre.
  if (!aDataCentre.Empty()) {
    Note(this->dataCentres[{ aPriority, aDataCentre }], aWork, aIsInTime);
  }
}

void
ServiceHistory::Decay(Instant aNow)
{
  if (aNow < this->decayedAt + kDecayInterval) {
    return;
  }
  const std::chrono::duration<double> passed = aNow - this->decayedAt;
  const double factor = std::exp2(-(passed / kHalfLife));
  Scale(this->teams, factor);
  Scale(this->dataCentres, factor);
  this->decayedAt = aNow;
}

}
