#pragma once

#include "core/names.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace sardinecourse {

/** Measured paces in the form in which a holder stores them for the next one.
 * Each belongs to one incarnation of a worker, which is kept, with its name, as
 * a fingerprint; an entry of another incarnation matches no worker. */
class PaceRecords
{
public:
  /** Steps in which paces are stored, as natural logarithms. */
  static constexpr double kLogStep = 0.1;
  static constexpr std::int32_t kMaxSteps = 15;
  /** Fingerprints have 30 bits. */
  static constexpr std::uint32_t kFingerprintMask = 0x3FFF'FFFF;

  static std::uint32_t FingerprintOf(const WorkerName& aWorker,
                                     std::int64_t aIncarnation);

  void Add(std::uint32_t aFingerprint, std::int32_t aSteps);
  void Add(const WorkerName& aWorker,
           std::int64_t aIncarnation,
           double aLogPace);
  /** The pace's natural logarithm; empty for another incarnation. */
  std::optional<double> Find(const WorkerName& aWorker,
                             std::int64_t aIncarnation) const;

  /** Steps of kLogStep by fingerprint. */
  const std::map<std::uint32_t, std::int32_t>& Entries() const
  {
    return this->entries;
  }
  /** Number of entries that the other records lack or have off by more than a
   * step. */
  std::size_t CountUnlike(const PaceRecords& aOther) const;

  auto operator<=>(const PaceRecords&) const = default;

private:
  std::map<std::uint32_t, std::int32_t> entries;
};

}
