#include "core/rcu_thread.h"

#include <urcu/urcu-memb.h>

namespace sardinecourse {

RcuThread::RcuThread()
{
  urcu_memb_register_thread();
}

RcuThread::~RcuThread()
{
  urcu_memb_unregister_thread();
}

}
