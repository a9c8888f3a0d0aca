#pragma once

#include <compare>
#include <cstdint>

namespace sardinecourse {

/** Number by which a worker refuses orders that are older than one that it has
 * carried out: the term of the holder, and within a term the fence that the
 * holder raises for each worker. */
class FencingToken
{
public:
  /** Fences of one worker in one term. */
  static constexpr std::int64_t kMaxFences = std::int64_t{ 1 } << 20U;

  FencingToken(std::int64_t aTerm, std::int64_t aFence)
    : term(aTerm)
    , fence(aFence)
  {
  }

  std::int64_t Number() const { return this->term * kMaxFences + this->fence; }

  auto operator<=>(const FencingToken&) const = default;

private:
  std::int64_t term;
  std::int64_t fence;
};

}
