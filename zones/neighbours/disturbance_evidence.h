#pragma once

#include "zones/neighbours/kind_exposure.h"

#include <array>

namespace sardinecourse {

/** What the runs of one kind show of the kinds beside them: sums over the
 * latest runs, in which older ones count less and less. */
class DisturbanceEvidence
{
public:
  /** Adds a run; aLogRate is the natural logarithm of its rate against what the
   * pace of its worker and its estimate let expect. */
  void Add(const KindExposure& aBeside, double aLogRate);

  /** By how much, as a share, each kind slows runs of this one down; 0 for a
   * kind without evidence that it does so enough to matter. */
  std::array<double, kMaxKinds> Slowdowns() const;

private:
  /** The first term is common to all runs. */
  static constexpr std::size_t kTerms = kMaxKinds + 1;

  std::array<std::array<double, kTerms>, kTerms> products{};
  std::array<double, kTerms> rates{};
  double squaredRates = 0.0;
};

}
