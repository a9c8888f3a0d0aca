#include "zones/pace/pace_records.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace sardinecourse {

/** FNV-1a, since the hash has to be the same in every build. */
std::uint32_t
PaceRecords::FingerprintOf(const WorkerName& aWorker, std::int64_t aIncarnation)
{
  constexpr std::uint64_t kOffset = 0xcbf29ce484222325;
  constexpr std::uint64_t kPrime = 0x100000001b3;
  constexpr int kBytes = 8;
  constexpr int kBits = 8;
  std::uint64_t hash = kOffset;
  const auto add = [&hash](std::uint64_t aByte) {
    hash = (hash ^ (aByte & 0xFFU)) * kPrime;
  };
  for (const char character : aWorker.Text()) {
    add(static_cast<unsigned char>(character));
  }
  for (int byte = 0; byte < kBytes; ++byte) {
    add(static_cast<std::uint64_t>(aIncarnation) >> (kBits * byte));
  }
  return static_cast<std::uint32_t>(hash ^ (hash >> 32U)) & kFingerprintMask;
}

void
PaceRecords::Add(std::uint32_t aFingerprint, std::int32_t aSteps)
{
  this->entries[aFingerprint & kFingerprintMask] =
    std::clamp(aSteps, -kMaxSteps, kMaxSteps);
}

void
PaceRecords::Add(const WorkerName& aWorker,
                 std::int64_t aIncarnation,
                 double aLogPace)
{
  const double limited =
    std::clamp(aLogPace / kLogStep, -1.0 * kMaxSteps, 1.0 * kMaxSteps);
  this->Add(FingerprintOf(aWorker, aIncarnation),
            static_cast<std::int32_t>(std::lround(limited)));
}

std::optional<double>
PaceRecords::Find(const WorkerName& aWorker, std::int64_t aIncarnation) const
{
  const auto found = this->entries.find(FingerprintOf(aWorker, aIncarnation));
  return found == this->entries.end() ? std::nullopt
                                      : std::optional(found->second * kLogStep);
}

std::size_t
PaceRecords::CountUnlike(const PaceRecords& aOther) const
{
  return static_cast<std::size_t>(std::count_if(
    this->entries.begin(), this->entries.end(), [&aOther](const auto& aEntry) {
      const auto found = aOther.entries.find(aEntry.first);
      return found == aOther.entries.end() ||
             std::abs(found->second - aEntry.second) > 1;
    }));
}

}
