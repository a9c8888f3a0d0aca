#pragma once

#include "contracts/policy_key.h"
#include "contracts/settings_level.h"
#include "core/instant.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace sardinecourse {

/** The policy in force at one place of the settings tree, and the level that
 * each value comes from. Made by PolicyBuilder. */
class Policy
{
public:
  /** Time a request may take when its caller names no deadline. */
  Milliseconds Deadline() const { return this->Time(PolicyKey::kDeadline); }
  /** Retries allowed per hundred requests. */
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
  /** Time that a task gets to save its state before it is stopped. */
  Milliseconds CheckpointGrace() const
  {
    return this->Time(PolicyKey::kCheckpointGrace);
  }
  /** Failed starts in a row after which a worker gets no more work. */
  std::int64_t QuarantineFailures() const
  {
    return this->Value(PolicyKey::kQuarantineFailures);
  }
  /** Length of a holder's lease. */
  Milliseconds Lease() const { return this->Time(PolicyKey::kLease); }
  Milliseconds WorkerPoll() const { return this->Time(PolicyKey::kWorkerPoll); }
  Milliseconds HostListPoll() const
  {
    return this->Time(PolicyKey::kHostListPoll);
  }
  Milliseconds SettingsPoll() const
  {
    return this->Time(PolicyKey::kSettingsPoll);
  }
  /** A log4cplus level. */
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
