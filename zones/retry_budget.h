#pragma once

#include <algorithm>
#include <cstdint>

namespace sardinecourse {

/**
 * Bounds retries to a share of the requests, so that retries cannot multiply an
 * overload. One object a thread; not shared.
 */
class RetryBudget
{
public:
  /** Called once for each request that arrives. */
  void Earn()
  {
    this->tokens = std::min(this->tokens + kTokensPerRequest, kMaxTokens);
  }
  bool HasOne() const { return this->tokens >= kTokensPerRetry; }
  /** Called once for each retry made. */
  void Spend() { this->tokens -= kTokensPerRetry; }

private:
  static constexpr std::int32_t kTokensPerRequest = 1;
  /** One retry for each five requests. */
  static constexpr std::int32_t kTokensPerRetry = 5;
  /** So many retries may follow each other after a quiet time. */
  static constexpr std::int32_t kMaxRetriesAtOnce = 100;
  static constexpr std::int32_t kMaxTokens =
    kMaxRetriesAtOnce * kTokensPerRetry;

  std::int32_t tokens = kMaxTokens;
};

}
