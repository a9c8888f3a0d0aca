#pragma once

#include <cstddef>
#include <cstdint>

namespace sardinecourse {

/** Settings that every level of the settings tree may override. */
enum class PolicyKey : std::uint8_t
{
  kDeadline,
  kRetryBudget,
  kRequestBodyLimit,
  kCompletionWeight,
  kFragmentationWeight,
  kCheckpointGrace,
  kQuarantineFailures,
  kLease,
  kWorkerPoll,
  kHostListPoll,
  kSettingsPoll,
  kLogLevel
};

constexpr std::size_t kPolicyKeyCount = 12;

}
