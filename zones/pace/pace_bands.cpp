#include "zones/pace/pace_bands.h"

namespace sardinecourse {

std::vector<PaceBand>
PaceBandsFor(PacePreference aPreference)
{
  constexpr PaceBand kSlowOnly{ PaceClass::kSlow, PaceClass::kSlow };
  constexpr PaceBand kTypicalOnly{ PaceClass::kTypical, PaceClass::kTypical };
  constexpr PaceBand kFastOnly{ PaceClass::kFast, PaceClass::kFast };
  constexpr PaceBand kNotSlow{ PaceClass::kTypical, PaceClass::kFast };
  constexpr PaceBand kAll{ PaceClass::kSlow, PaceClass::kFast };
  switch (aPreference) {
    case PacePreference::kFast:
      return { kFastOnly, kNotSlow, kAll };
    case PacePreference::kSlow:
      // A gang works at the pace of its slowest member, so a mixed one wastes
      // its fast workers.
      return { kSlowOnly, kTypicalOnly, kNotSlow, kAll };
    default:
      return { kAll };
  }
}

}
