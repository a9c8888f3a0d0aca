#pragma once

namespace sardinecourse {

/** Registers the calling thread as a reader of Snapshots for the lifetime of
 * the object. */
class RcuThread
{
public:
  RcuThread();
  ~RcuThread();
  RcuThread(const RcuThread&) = delete;
  RcuThread& operator=(const RcuThread&) = delete;
};

}
