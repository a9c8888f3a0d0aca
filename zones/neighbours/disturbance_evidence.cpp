#include "zones/neighbours/disturbance_evidence.h"

#include <algorithm>
#include <cmath>

namespace sardinecourse {

namespace {

/** The weight of a run falls to a third after this many further runs of its
 * kind. */
constexpr double kRememberedRuns = 1000.0;
/** Tasks of very unlike sizes count as if they were off by this factor (a
 * natural logarithm). */
constexpr double kMaxLogRate = 0.7;
/** Effects are expected to be none; a run beside a kind has to be seen more
 * often than this. */
constexpr double kExpectedNoneRuns = 4.0;
/** A smaller slowdown takes less than a fifth of the slack that an objective of
 * 1.5 times the run time leaves. */
constexpr double kMinSlowdown = 0.1;
/** Standard errors that an effect has to exceed: with all pairs of kinds tried
 * again and again, fewer would be exceeded by chance. */
constexpr double kMinStandardErrors = 4.0;
constexpr double kMinRuns = 30.0;

}

void
DisturbanceEvidence::Add(const KindExposure& aBeside, double aLogRate)
{
  const double kept = 1.0 - 1.0 / kRememberedRuns;
  const double rate = std::clamp(aLogRate, -kMaxLogRate, kMaxLogRate);
  std::array<double, kTerms> terms{};
  terms[0] = 1.0;
  std::copy(aBeside.begin(), aBeside.end(), terms.begin() + 1);
  for (std::size_t row = 0; row < kTerms; ++row) {
    for (std::size_t column = 0; column < kTerms; ++column) {
      this->products[row][column] =
        this->products[row][column] * kept + terms[row] * terms[column];
    }
    this->rates[row] = this->rates[row] * kept + terms[row] * rate;
  }
  this->squaredRates = this->squaredRates * kept + rate * rate;
}

/** A regression of the rates on the kinds beside, which tells the kinds apart
 * that often run together. Solved by Gauss-Jordan elimination, whose inverse
 * gives the standard errors. */
std::array<double, kMaxKinds>
DisturbanceEvidence::Slowdowns() const
{
  std::array<double, kMaxKinds> slowdowns{};
  const double runs = this->products[0][0];
  if (runs < kMinRuns) {
    return slowdowns;
  }
  auto matrix = this->products;
  std::array<std::array<double, kTerms>, kTerms> inverse{};
  for (std::size_t term = 0; term < kTerms; ++term) {
    inverse[term][term] = 1.0;
    matrix[term][term] += term > 0 ? kExpectedNoneRuns : 0.0;
  }
  // The matrix is positive definite, so no pivot is zero.
  for (std::size_t pivot = 0; pivot < kTerms; ++pivot) {
    const double scale = 1.0 / matrix[pivot][pivot];
    for (std::size_t column = 0; column < kTerms; ++column) {
      matrix[pivot][column] *= scale;
      inverse[pivot][column] *= scale;
    }
    for (std::size_t row = 0; row < kTerms; ++row) {
      const double factor = matrix[row][pivot];
      if (row == pivot || factor == 0.0) {
        continue;
      }
      for (std::size_t column = 0; column < kTerms; ++column) {
        matrix[row][column] -= factor * matrix[pivot][column];
        inverse[row][column] -= factor * inverse[pivot][column];
      }
    }
  }
  std::array<double, kTerms> effects{};
  double explained = 0.0;
  for (std::size_t row = 0; row < kTerms; ++row) {
    for (std::size_t column = 0; column < kTerms; ++column) {
      effects[row] += inverse[row][column] * this->rates[column];
    }
    explained += effects[row] * this->rates[row];
  }
  const double variance = std::max(this->squaredRates - explained, 0.0) / runs;
  for (std::size_t kind = 0; kind < kMaxKinds; ++kind) {
    const double error = std::sqrt(variance * inverse[kind + 1][kind + 1]);
    const double slowdown = std::expm1(-effects[kind + 1]);
    const bool isEvident = this->products[kind + 1][kind + 1] >= kMinRuns &&
                           slowdown >= kMinSlowdown &&
                           -effects[kind + 1] >= kMinStandardErrors * error;
    slowdowns[kind] = isEvident ? slowdown : 0.0;
  }
  return slowdowns;
}

}
