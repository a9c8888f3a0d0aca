#include "core/rcu.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
extern "C" void
__tsan_acquire(void* aAddress);
extern "C" void
__tsan_release(void* aAddress);
#endif

namespace sardinecourse {

void
RcuReadLock()
{
  urcu_memb_read_lock();
}

void
RcuReadUnlock()
{
  urcu_memb_read_unlock();
}

void
RcuSynchronize()
{
  urcu_memb_synchronize_rcu();
}

void
RcuAnnotateReadEnd([[maybe_unused]] const void* aSlot)
{
#if defined(__SANITIZE_THREAD__)
  __tsan_release(const_cast<void*>(aSlot));
#endif
}

void
RcuAnnotateGracePeriod([[maybe_unused]] const void* aSlot)
{
#if defined(__SANITIZE_THREAD__)
  __tsan_acquire(const_cast<void*>(aSlot));
#endif
}

}
