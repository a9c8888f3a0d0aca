#include "zones/load_changes.h"

#include <algorithm>
#include <cstdlib>

namespace sardinecourse {

std::vector<MinionLoad>
ChangedLoads(const std::vector<std::int64_t>& aSent,
             const std::vector<std::int64_t>& aNow,
             std::size_t aMax)
{
  const auto sentOf = [&aSent](std::size_t aIndex) {
    return aIndex < aSent.size() ? aSent[aIndex] : 0;
  };
  std::vector<MinionLoad> changed;
  for (std::size_t index = 0; index < aNow.size(); ++index) {
    if (aNow[index] != sentOf(index)) {
      changed.push_back({ static_cast<std::int64_t>(index), aNow[index] });
    }
  }
  if (changed.size() <= aMax) {
    return changed;
  }
  const auto differenceOf = [&sentOf](const MinionLoad& aLoad) {
    return std::abs(aLoad.inFlight -
                    sentOf(static_cast<std::size_t>(aLoad.index)));
  };
  std::stable_sort(changed.begin(),
                   changed.end(),
                   [&](const MinionLoad& aLeft, const MinionLoad& aRight) {
                     return differenceOf(aLeft) > differenceOf(aRight);
                   });
  changed.resize(aMax);
  std::sort(changed.begin(), changed.end());
  return changed;
}

}
