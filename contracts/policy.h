#pragma once

#include "contracts/policy_key.h"
#include "contracts/settings_level.h"
#include "core/instant.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** The policy in force at one node of the settings tree, with the level that
 * each value comes from. Built by PolicyBuilder. */
class Policy
{
public:
  /** Max duration of a request whose caller sends no deadline. */
  Milliseconds Deadline() const { return this->Time(PolicyKey::kDeadline); }
  /** Max retries per 100 requests. */
  std::int64_t RetryBudgetPercent() const
  {
    return this->Value(PolicyKey::kRetryBudget);
  }
  std::int64_t RequestBodyLimitBytes() const
  {
    return this->Value(PolicyKey::kRequestBodyLimit) * kBytesPerKilobyte;
  }
  std::int64_t CompletionWeight() const
  {
    return this->Value(PolicyKey::kCompletionWeight);
  }
  std::int64_t FragmentationWeight() const
  {
    return this->Value(PolicyKey::kFragmentationWeight);
  }
  /** Time that a task gets to save a checkpoint before it is stopped. */
  Milliseconds CheckpointGrace() const
  {
    return this->Time(PolicyKey::kCheckpointGrace);
  }
  /** Number of consecutive failed starts after which a worker is
   * quarantined. */
  std::int64_t QuarantineFailures() const
  {
    return this->Value(PolicyKey::kQuarantineFailures);
  }
  /** Length of the lease of a data centre's holder. */
  Milliseconds Lease() const { return this->Time(PolicyKey::kLease); }
  /** Interval between two polls of a worker. */
  Milliseconds WorkerPoll() const { return this->Time(PolicyKey::kWorkerPoll); }
  /** Interval between two reads of the host list. */
  Milliseconds HostListPoll() const
  {
    return this->Time(PolicyKey::kHostListPoll);
  }
  /** Interval between two reads of the stored settings revision. */
  Milliseconds SettingsPoll() const
  {
    return this->Time(PolicyKey::kSettingsPoll);
  }
  /** Name of a log4cplus level. */
  std::string_view LogLevel() const;

  std::int64_t Value(PolicyKey aKey) const
  {
    return this->values[static_cast<std::size_t>(aKey)];
  }
  SettingsLevel Origin(PolicyKey aKey) const
  {
    return this->origins[static_cast<std::size_t>(aKey)];
  }

  auto operator<=>(const Policy&) const = default;

private:
  friend class PolicyBuilder;

  static constexpr std::int64_t kBytesPerKilobyte = 1024;

  Milliseconds Time(PolicyKey aKey) const
  {
    return Milliseconds(this->Value(aKey));
  }

  std::array<std::int64_t, kPolicyKeyCount> values{};
  std::array<SettingsLevel, kPolicyKeyCount> origins{};
};

}
