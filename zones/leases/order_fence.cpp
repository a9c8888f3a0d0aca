#include "zones/leases/order_fence.h"

#include "contracts/fencing_token.h"

namespace sardinecourse {

void
OrderFence::Raise()
{
  // Without a renewal under the present fence there is nothing to separate.
  if (this->lastRenewal == this->current &&
      this->current + 1 < FencingToken::kMaxFences) {
    ++this->current;
  }
}

bool
OrderFence::NoteAnswer(bool aIsRestarted)
{
  if (aIsRestarted) {
    // The new process has received no token, so an order to any earlier
    // incarnation may have reached it before this poll.
    this->earlierRenewal = this->lastRenewal;
  }
  if (!this->earlierRenewal) {
    return false;
  }
  if (this->lastPoll > *this->earlierRenewal) {
    this->earlierRenewal.reset();
  } else {
    this->Raise();
  }
  return true;
}

}
