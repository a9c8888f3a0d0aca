#pragma once

namespace sardinecourse {

/** Registers the calling thread as a reader of snapshots for as long as the
 * object lives. */
class RcuThread
{
public:
  RcuThread();
  ~RcuThread();
  RcuThread(const RcuThread&) = delete;
  RcuThread& operator=(const RcuThread&) = delete;
};

}
