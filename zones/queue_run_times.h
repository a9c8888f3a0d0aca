#pragma once

#include "core/instant.h"
#include "core/names.h"

#include <deque>
#include <map>
#include <optional>

namespace sardinecourse {

/** Recent run times of the tasks of each queue. Declared estimates are often
 * far off, so they are used only until enough runs were measured. */
class QueueRunTimes
{
public:
  void Note(const QueueName& aQueue, Milliseconds aRunTime);
  /** Mean of the latest runs; empty while fewer than 5 were recorded. */
  std::optional<Milliseconds> Typical(const QueueName& aQueue) const;

private:
  std::map<QueueName, std::deque<Milliseconds>> runTimes;
};

}
