#include "codecs/pace_records_text.h"

#include "core/reason.h"
#include "zones/pace/pace_records.h"

#include <string_view>

namespace sardinecourse {

namespace {

constexpr std::string_view kDigits =
  "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr std::uint32_t kBitsPerDigit = 6;
constexpr std::uint32_t kDigitMask = 0x3F;
constexpr std::size_t kFingerprintDigits = 5;
constexpr std::size_t kEntryDigits = kFingerprintDigits + 1;
/** Added to a number of steps so that it is not negative. */
constexpr std::int32_t kZeroSteps = 32;
/** More workers than a domain has; a longer row is none of ours. */
constexpr std::size_t kMaxEntries = 5000;

}

std::string
EncodePaceRecords(const PaceRecords& aRecords)
{
  std::string text;
  for (const auto& [fingerprint, steps] : aRecords.Entries()) {
    for (std::size_t digit = 0; digit < kFingerprintDigits; ++digit) {
      text += kDigits[(fingerprint >> (kBitsPerDigit * digit)) & kDigitMask];
    }
    const auto last = static_cast<std::uint32_t>(steps + kZeroSteps);
    text += kDigits[last];
  }
  return text;
}

std::optional<PaceRecords>
DecodePaceRecords(const std::string& aText, Reason& aReason)
{
  const bool isWhole = aText.size() % kEntryDigits == 0 &&
                       aText.size() <= kEntryDigits * kMaxEntries &&
                       aText.find_first_not_of(kDigits) == std::string::npos;
  if (!isWhole) {
    aReason = Reason(Step::kDecode,
                     "",
                     "stored paces must have six characters for each worker");
    return std::nullopt;
  }
  PaceRecords records;
  for (std::size_t entry = 0; entry < aText.size(); entry += kEntryDigits) {
    std::uint32_t fingerprint = 0;
    for (std::size_t digit = 0; digit < kFingerprintDigits; ++digit) {
      const auto value =
        static_cast<std::uint32_t>(kDigits.find(aText[entry + digit]));
      fingerprint |= value << (kBitsPerDigit * digit);
    }
    const auto steps = static_cast<std::int32_t>(
      kDigits.find(aText[entry + kFingerprintDigits]));
    records.Add(fingerprint, steps - kZeroSteps);
  }
  return records;
}

}
