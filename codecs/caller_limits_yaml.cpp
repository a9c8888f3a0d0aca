#include "codecs/caller_limits_yaml.h"

#include "codecs/yaml_reader.h"
#include "machines/caller_limits_builder.h"

#include <algorithm>

namespace sardinecourse {

namespace {

constexpr std::int64_t kBytesPerKb = 1024;
constexpr std::int64_t kBytesPerMb = kBytesPerKb * kBytesPerKb;
constexpr std::int64_t kMinMemoryMb = 16;
constexpr std::int64_t kMaxMemoryMb = 1 << 20;
/** The accepted jobs, the workers and the program itself need the rest. */
constexpr std::int64_t kMemoryShare = 4;
constexpr std::int64_t kDefaultDescriptors = 4096;
constexpr std::int64_t kMinDescriptors = 256;
constexpr std::int64_t kMaxDescriptors = 1 << 20;
/** Descriptors that are kept for files. */
constexpr std::int64_t kFileDescriptors = 200;
/** Each call may need a connection to the store or to a minion, and a holder
 * has one to each worker. */
constexpr std::int64_t kConnectionShare = 3;
constexpr std::int64_t kMaxHeaderKb = 1024;
constexpr std::int64_t kMaxHeaderFields = 10'000;
constexpr std::int64_t kMaxBodyKb = 65'536;
constexpr double kMinTimeS = 0.1;
constexpr double kMaxTimeS = 3600.0;

void
ReadSection(YamlReader& aLimits,
            const CallerLimitDefaults& aDefaults,
            CallerLimitsBuilder& aBuilder)
{
  const CallerLimits defaults;
  const std::int64_t memoryMb = aLimits.Integer(
    "memory_mb", aDefaults.memoryMb, kMinMemoryMb, kMaxMemoryMb);
  const std::int64_t descriptors = aLimits.Integer(
    "descriptors", kDefaultDescriptors, kMinDescriptors, kMaxDescriptors);
  const auto seconds = [&aLimits](const char* aKey, Milliseconds aDefault) {
    return aLimits.Seconds(aKey, aDefault, kMinTimeS, kMaxTimeS);
  };
  aBuilder
    .MemoryBytes(
      kBytesPerMb *
      aLimits.Integer("caller_memory_mb", memoryMb / kMemoryShare, 1, memoryMb))
    .Connections(
      aLimits.Integer("connections",
                      (descriptors - kFileDescriptors) / kConnectionShare,
                      1,
                      descriptors))
    .HeaderBytes(
      kBytesPerKb *
      aLimits.Integer(
        "header_kb", defaults.HeaderBytes() / kBytesPerKb, 1, kMaxHeaderKb))
    .HeaderFields(aLimits.Integer(
      "header_fields", defaults.HeaderFields(), 1, kMaxHeaderFields))
    .BodyBytes(kBytesPerKb *
               aLimits.Integer("body_kb", aDefaults.bodyKb, 1, kMaxBodyKb))
    .IdleTime(seconds("idle_s", defaults.IdleTime()))
    .RequestTime(seconds("request_s", defaults.RequestTime()))
    .AnswerTime(seconds("answer_s", defaults.AnswerTime()));
}

}

std::optional<CallerLimits>
ReadCallerLimits(YamlReader& aHost,
                 const CallerLimitDefaults& aDefaults,
                 Reason& aReason)
{
  CallerLimitsBuilder builder;
  builder.MemoryBytes(kBytesPerMb * aDefaults.memoryMb / kMemoryShare)
    .BodyBytes(kBytesPerKb * aDefaults.bodyKb);
  aHost.Section("limits", [&](YamlReader& aLimits) {
    ReadSection(aLimits, aDefaults, builder);
  });
  return builder.Build(aReason);
}

}
