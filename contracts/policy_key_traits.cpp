#include "contracts/policy_key_traits.h"

namespace sardinecourse {

namespace {

constexpr std::array<std::string_view, 6> kLogLevels{ "TRACE", "DEBUG", "INFO",
                                                      "WARN",  "ERROR", "OFF" };
constexpr std::int64_t kInfo = 2;

// The max poll intervals keep two guarantees under any setting: a leaving
// upstream gets no new work after 3 s, and a change is in force within 16 s.
constexpr std::array<PolicyKeyTraits, kPolicyKeyCount> kTraits{ {
  { PolicyKey::kDeadline,
    "deadline_ms",
    30'000,
    10,
    3'600'000,
    SettingsLevel::kService,
    {} },
  { PolicyKey::kRetryBudget,
    "retry_budget_percent",
    10,
    0,
    100,
    SettingsLevel::kService,
    {} },
  { PolicyKey::kRequestBodyLimit,
    "request_body_limit_kb",
    16'384,
    1,
    65'536,
    SettingsLevel::kService,
    {} },
  { PolicyKey::kCompletionWeight,
    "completion_weight",
    50,
    0,
    100,
    SettingsLevel::kService,
    {} },
  { PolicyKey::kFragmentationWeight,
    "fragmentation_weight",
    50,
    0,
    100,
    SettingsLevel::kService,
    {} },
  { PolicyKey::kCheckpointGrace,
    "checkpoint_grace_ms",
    5'000,
    0,
    600'000,
    SettingsLevel::kService,
    {} },
  { PolicyKey::kQuarantineFailures,
    "quarantine_failures",
    3,
    1,
    100,
    SettingsLevel::kDataCentre,
    {} },
  { PolicyKey::kLease,
    "lease_ms",
    3'000,
    2'000,
    60'000,
    SettingsLevel::kDataCentre,
    {} },
  { PolicyKey::kWorkerPoll,
    "worker_poll_ms",
    20'000,
    100,
    60'000,
    SettingsLevel::kDataCentre,
    {} },
  { PolicyKey::kHostListPoll,
    "host_list_poll_ms",
    1'000,
    200,
    2'000,
    SettingsLevel::kDataCentre,
    {} },
  { PolicyKey::kSettingsPoll,
    "settings_poll_ms",
    2'000,
    500,
    5'000,
    SettingsLevel::kDataCentre,
    {} },
  { PolicyKey::kLogLevel,
    "log_level",
    kInfo,
    0,
    kLogLevels.size() - 1,
    SettingsLevel::kDataCentre,
    kLogLevels },
} };

}

const std::array<PolicyKeyTraits, kPolicyKeyCount>&
AllPolicyKeys()
{
  return kTraits;
}

const PolicyKeyTraits&
TraitsOf(PolicyKey aKey)
{
  return kTraits[static_cast<std::size_t>(aKey)];
}

}
