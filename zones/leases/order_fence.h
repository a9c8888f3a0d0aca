#pragma once

#include <cstdint>
#include <optional>

namespace sardinecourse {

/** Fence of the orders to one worker. An order without an answer may still be
 * carried out, also by a later incarnation of the worker, on whose clock its
 * deadline means nothing. The fence is raised after such orders, and an answer
 * to a poll that carries the raised one shows that none of them will be. */
class OrderFence
{
public:
  /** Fence that an order carries which is sent now. */
  std::int64_t Current() const { return this->current; }
  /** Records that an order is sent that may renew the worker's lease. */
  void NoteRenewal() { this->lastRenewal = this->current; }
  /** Records that a poll is sent; one poll is sent at a time. */
  void NotePoll() { this->lastPoll = this->current; }
  /** Separates later orders from those that were sent so far. */
  void Raise();
  /** Applies the answer to the latest poll. Returns whether the lease may have
   * been renewed until then by an order to an earlier incarnation. */
  bool NoteAnswer(bool aIsRestarted);
  /** Whether the worker may still carry out an order that was sent to an
   * earlier incarnation of it. */
  bool MayBeLate() const { return this->earlierRenewal.has_value(); }

private:
  std::int64_t current = 0;
  std::int64_t lastRenewal = -1;
  std::int64_t lastPoll = 0;
  /** Fence of the last renewal that was sent to an earlier incarnation; empty
   * when no such renewal can be carried out any more. */
  std::optional<std::int64_t> earlierRenewal;
};

}
