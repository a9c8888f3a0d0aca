#pragma once

#include "core/instant.h"

namespace sardinecourse {

class DomainBook;
class TaskUnit;

/** Looks over the runs of a domain: gives up those whose workers' leases have
 * run out and those that stand still, and notes workers that are slow. */
class RunWatch
{
public:
  RunWatch(DomainBook& aBook, Instant aNow);

  void Run();

private:
  void DropLapsed();
  void WatchProgress();
  void WatchProgressOf(TaskUnit& aUnit, Milliseconds aTypical);

  DomainBook* book;
  Instant now;
};

}
