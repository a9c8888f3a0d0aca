#pragma once

#include <compare>

namespace sardinecourse {

/** What placement takes into account of a worker, beside its resources, for the
 * tasks of one queue. The default is a worker of which nothing is known. */
class WorkerOutlook
{
public:
  /** Whether anything may be started on the worker. */
  bool IsOpen() const { return this->isOpen; }
  /** Speed of the worker relative to the domain's typical worker; 1 while it is
   * not known. */
  double Pace() const { return this->pace; }
  /** Expected slowdown, as a share, between the tasks and what runs on the
   * worker now; 0 without evidence. */
  double Disturbance() const { return this->disturbance; }

  auto operator<=>(const WorkerOutlook&) const = default;

private:
  friend class WorkerOutlookBuilder;

  bool isOpen = true;
  double pace = 1.0;
  double disturbance = 0.0;
};

}
