#pragma once

#include <algorithm>
#include <cstdint>

namespace sardinecourse {

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply an
 * overload. Not thread-safe: each thread has its own object.
 */
class RetryBudget
{
public:
  /** Called once for each request that arrives. */
  void Earn()
  {
    this->tokens = std::min(this->tokens + kTokensPerRequest, kMaxTokens);
  }
  /** True when the budget allows a retry. */
  bool MayRetry() const { return this->tokens >= kTokensPerRetry; }
  /** Called once for each retry made. */
  void Spend() { this->tokens -= kTokensPerRetry; }

private:
  static constexpr std::int32_t kTokensPerRequest = 1;
  /** One retry per five requests. */
  static constexpr std::int32_t kTokensPerRetry = 5;
  /** Max burst of retries after a time without any. */
  static constexpr std::int32_t kMaxRetriesAtOnce = 100;
  static constexpr std::int32_t kMaxTokens =
    kMaxRetriesAtOnce * kTokensPerRetry;

  std::int32_t tokens = kMaxTokens;
};

}
